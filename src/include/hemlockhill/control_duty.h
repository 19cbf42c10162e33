// The control duty: follows the region's declared state, keeps this node's right to serve, hosts the controller where there is a data
// folder, and answers operators.
#pragma once

#include "hemlockhill/control_messages.h"
#include "hemlockhill/controller_host.h"
#include "hemlockhill/duty.h"
#include "hemlockhill/http_server.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/operator_http_handler.h"
#include "hemlockhill/peer_messages.h"
#include "hemlockhill/serving_gate.h"
#include "hemlockhill/serving_lease.h"
#include "hemlockhill/settings.h"
#include "hemlockhill/state_follower.h"
#include "hemlockhill/timer_service.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace Hemlockhill
{

class ControlDuty
{
public:
    // Hands a message to the peers' duty. False when its ring is full.
    using PeerOutlet = std::function<bool(PeerDutyMessage)>;

    ControlDuty(const Settings &settings, TimerService &timers, Metrics &metrics, ServingGate &gate);
    ~ControlDuty();
    ControlDuty(const ControlDuty &) = delete;
    ControlDuty &operator=(const ControlDuty &) = delete;

    // Throws EnvironmentError when the operators' address cannot be bound.
    void start(ControlListeners listeners, PeerOutlet peers);
    void stop();
    // Callable from any thread. False when the ring is full.
    bool post(PeerEvent event) { return m_mailbox.post(std::move(event)); }
    // Submits a command to the replicated state, wherever its leader is. Callable from any thread; answers on this duty's loop.
    void submit(std::string payload, SubmitAnswer answer);
    // The latest reports of the runners. Callable from any thread.
    void postReports(std::shared_ptr<const EndpointReports> reports);
    // The latest figures of the requests that this node served. Callable from any thread.
    void postFigures(ModelTotalsByModel figures);
    // Settings that a running node takes over. Callable from any thread.
    void postSettings(std::shared_ptr<const Settings> settings);
    // Hands over what this controller leads, then calls back on this duty's loop.
    void leave(std::function<void()> left);

private:
    // What a call to another node was for.
    struct FollowCall {
        TimePoint sentAt;
    };
    struct AttestCall {
        std::uint64_t round = 0;
    };
    struct IdentityCall {
    };
    // A command on its way to the leading controller.
    struct Submission {
        std::string payload;
        SubmitAnswer answer;
        // When to stop looking for a leader.
        TimePoint giveUpAt;
    };
    struct SubmitCall {
        Submission submission;
    };
    struct QueryCall {
        std::function<void(HttpResponse)> answer;
    };
    using CallPurpose = std::variant<FollowCall, AttestCall, IdentityCall, SubmitCall, QueryCall>;

    void tick();
    void handle(PeerEvent &&event);
    void onIncoming(IncomingCall &&call);
    void onAnswered(PeerCallAnswered &&answered);
    void onFailed(const PeerCallFailed &failed);
    void call(const VmId &to, PeerRequest request, CallPurpose purpose);
    std::optional<CallPurpose> takePurpose(CallId id);

    void followSoon(Duration delay);
    void followNow();
    std::optional<VmId> followTarget();
    void onFollowReply(TimePoint sentAt, const FollowReply &reply);
    void askForAttestations(TimePoint now);
    void onAttestReply(const VmId &from, std::uint64_t round, const AttestReply &reply);
    void fetchLaterState(const VmId &from, const Attestation &attestation);
    AttestReply attest(const AttestRequest &request);
    void takeQuarantine(const FollowReply &reply);
    std::string figuresDue(TimePoint now);
    void publish();
    void refreshGate();

    void trySubmission(Submission submission);
    void onSubmitReply(Submission submission, const SubmitReply &reply);
    void submitHere(const std::string &payload, const SubmitAnswer &answer);
    OperatorHttpHandlerHooks deskHooks();
    OperatorView view();
    bool askLeader(const std::string &statement, bool json, std::function<void(HttpResponse)> answer);
    void awaitResignation(TimePoint deadline, const std::function<void()> &left);

    Settings m_settings;
    TimerService &m_timers;
    Metrics &m_metrics;
    ServingGate &m_gate;
    Duty m_duty;
    std::unique_ptr<HttpServer> m_server;
    ControlListeners m_listeners;
    PeerOutlet m_peers;
    std::unique_ptr<ControllerHost> m_controller;
    OperatorHttpHandler m_desk;
    ServingLease m_lease;
    StateFollower m_follower;
    std::vector<VmId> m_controllers;
    std::size_t m_nextController = 0;
    VmId m_leaderHint;
    bool m_following = false;
    bool m_followScheduled = false;
    Revision m_published;
    ServingMode m_mode = ServingMode::Stopped;
    std::uint64_t m_round = 0;
    std::uint64_t m_fetchedInRound = 0;
    StateDigest m_quarantineDigest;
    std::shared_ptr<const EndpointReports> m_reports;
    FiguresReporter m_figures;
    TimePoint m_figuresSentAt;
    TimePoint m_roundBeganAt;
    std::map<CallId, CallPurpose> m_calls;
    std::uint64_t m_lastCall = 0;
    Mailbox<PeerEvent> m_mailbox;
};

} // namespace Hemlockhill
