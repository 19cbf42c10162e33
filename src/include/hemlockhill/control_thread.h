// Keeps a node in step with the region's declared state, renews its serving lease, hosts the controller on nodes that have a data
// folder, and serves the operator API.
#pragma once

#include "hemlockhill/control_messages.h"
#include "hemlockhill/controller_host.h"
#include "hemlockhill/event_loop_thread.h"
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

// Runs all control work of a node on one thread with an event loop, the control thread.
class ControlThread
{
public:
    // Passes a message to the peer thread. Returns false if its queue is full; the message is then discarded.
    using PeerSink = std::function<bool(PeerThreadMessage)>;

    ControlThread(const Settings &settings, TimerService &timers, Metrics &metrics, ServingGate &gate);
    ~ControlThread();
    ControlThread(const ControlThread &) = delete;
    ControlThread &operator=(const ControlThread &) = delete;

    // Starts the thread and listens for operators. Throws EnvironmentError if the operators' address cannot be bound.
    void start(ControlListeners listeners, PeerSink peers);
    void stop();
    // Thread-safe. Returns false if the queue is full; the event is then discarded.
    bool post(PeerEvent event) { return m_mailbox.post(std::move(event)); }
    // Submits an encoded command to the leading controller, which may run on another node. Thread-safe; `answer` is called on the
    // control thread.
    void submit(std::string payload, SubmitAnswer answer);
    // Supplies the latest reports of the runners. Thread-safe.
    void postReports(std::shared_ptr<const EndpointReports> reports);
    // Supplies the latest statistics of the requests served by this node. Thread-safe.
    void postStatistics(ModelTotalsByModel statistics);
    // Applies settings that can change at run time. Thread-safe.
    void postSettings(std::shared_ptr<const Settings> settings);
    // Transfers leadership to another controller if this one leads, then calls `onLeft` on the control thread. Gives up the transfer after
    // two election timeouts. Thread-safe.
    void leave(std::function<void()> onLeft);

private:
    // The context of a pending call to another node, one type per kind of request.
    struct FollowCall {
        TimePoint sentAt;
    };
    struct AttestCall {
        std::uint64_t round = 0;
    };
    struct IdentityCall {
        TimePoint sentAt;
    };
    // A command that has not been answered by the leading controller yet.
    struct Submission {
        std::string payload;
        SubmitAnswer answer;
        // The command is refused if no leader has been found by then.
        TimePoint deadline;
    };
    struct SubmitCall {
        Submission submission;
    };
    struct QueryCall {
        std::function<void(HttpResponse)> answer;
    };
    using CallContext = std::variant<FollowCall, AttestCall, IdentityCall, SubmitCall, QueryCall>;

    HttpServerLimits operatorLimits();
    void tick();
    void handle(PeerEvent &&event);
    void onIncoming(IncomingCall &&call);
    void onAnswered(PeerCallAnswered &&answered);
    void onFailed(const PeerCallFailed &failed);
    void call(const VmId &to, PeerRequest request, CallContext context);
    std::optional<CallContext> takeContext(CallId id);

    void scheduleFollow(Duration delay);
    void sendFollowRequest();
    std::optional<VmId> leaderCandidate();
    void onFollowReply(TimePoint sentAt, const FollowReply &reply);
    void requestAttestations(TimePoint now);
    void onAttestReply(const VmId &from, std::uint64_t round, const AttestReply &reply);
    void fetchLaterState(const VmId &from, const Attestation &attestation);
    AttestReply attest(const AttestRequest &request);
    void applyQuarantine(const FollowReply &reply);
    // Returns the statistics to send now, or an empty string if they are not due.
    std::string dueStatistics(TimePoint now);
    void publishState();
    void refreshGate();

    void trySubmission(Submission submission);
    void onSubmitReply(Submission submission, const SubmitReply &reply);
    void submitLocally(const std::string &payload, const SubmitAnswer &answer);
    OperatorHttpHandlerHooks operatorHooks();
    OperatorView view();
    // Forwards a query to the leading controller. Returns false if this node leads or knows no leader.
    bool forwardQuery(const std::string &statement, bool json, std::function<void(HttpResponse)> answer);
    void awaitLeadershipTransfer(TimePoint deadline, const std::function<void()> &onLeft);

    Settings m_settings;
    TimerService &m_timers;
    Metrics &m_metrics;
    ServingGate &m_gate;
    EventLoopThread m_thread;
    std::unique_ptr<HttpServer> m_server;
    ControlListeners m_listeners;
    PeerSink m_peerSink;
    std::unique_ptr<ControllerHost> m_controller;
    OperatorHttpHandler m_operatorApi;
    ServingLease m_lease;
    StateFollower m_follower;
    std::vector<VmId> m_controllers;
    std::size_t m_nextController = 0;
    VmId m_leaderHint;
    bool m_followInProgress = false;
    bool m_followScheduled = false;
    Revision m_publishedRevision;
    ServingMode m_mode = ServingMode::Stopped;
    std::uint64_t m_round = 0;
    std::uint64_t m_lastFetchRound = 0;
    StateDigest m_quarantineDigest;
    std::shared_ptr<const EndpointReports> m_reports;
    FiguresReporter m_figures;
    TimePoint m_statisticsSentAt;
    TimePoint m_roundStartedAt;
    std::map<CallId, CallContext> m_calls;
    std::uint64_t m_lastCall = 0;
    Mailbox<PeerEvent> m_mailbox;
};

} // namespace Hemlockhill
