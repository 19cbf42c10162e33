// Wiring of a node's threads, signal handling and reloading of settings.
#include "hemlockhill/node.h"

#include "hemlockhill/caller_thread.h"
#include "hemlockhill/control_thread.h"
#include "hemlockhill/endpoint_thread.h"
#include "hemlockhill/log.h"
#include "hemlockhill/metrics.h"
#include "hemlockhill/peer_thread.h"
#include "hemlockhill/replicated_state.h"
#include "hemlockhill/serving_gate.h"
#include "hemlockhill/timer_service.h"
#include "node/node_limits.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>

namespace Hemlockhill
{

namespace
{

// Owns the threads of a node.
class Node
{
public:
    Node(const Settings &settings, std::filesystem::path settingsFile)
        : m_settings(std::make_shared<const Settings>(settings))
        , m_settingsFile(std::move(settingsFile))
        , m_callers(settings, m_timers, m_metrics, m_gate)
        , m_endpoints(
              settings.endpoints, m_timers, m_metrics, [this](CallerThreadMessage message) { return postToCallers(std::move(message)); })
        , m_control(settings, m_timers, m_metrics, m_gate)
        , m_peers(settings, m_metrics, [this](PeerEvent event) { return m_control.post(std::move(event)); })
        , m_signals(m_loop, SIGTERM, SIGINT)
        , m_reloadSignal(m_loop, SIGHUP)
    {
    }

    // Stops the timers first, since they post to the threads' event loops.
    ~Node()
    {
        m_timers.stop();
        m_peers.stop();
        m_control.stop();
        m_endpoints.stop();
        m_callers.stop();
    }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void run();

private:
    bool postToCallers(CallerThreadMessage message);
    void connectRegisters();
    ControlListeners controlListeners();
    void awaitReload();
    void reload();

    std::shared_ptr<const Settings> m_settings;
    std::filesystem::path m_settingsFile;
    Metrics m_metrics;
    TimerService m_timers;
    ServingGate m_gate;
    CallerThread m_callers;
    EndpointThread m_endpoints;
    ControlThread m_control;
    PeerThread m_peers;
    // The main thread's event loop, which handles signals and ends when the node has shut down.
    boost::asio::io_context m_loop;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_reloadSignal;
};

void Node::run()
{
    connectRegisters();
    m_callers.setStatisticsListener([this](const ModelTotalsByModel &figures) { m_control.postStatistics(figures); });
    m_endpoints.limitConnections(nodeLimits(*m_settings).endpointConnections);
    m_endpoints.start();
    m_peers.start();
    m_control.start(controlListeners(), [this](PeerThreadMessage message) { return m_peers.post(std::move(message)); });
    // Last, so that a node that accepts callers also listens on its other addresses.
    m_callers.start([this](EndpointThreadMessage message) { return m_endpoints.post(std::move(message)); },
                    [this] { m_control.leave([this] { boost::asio::post(m_loop, [this] { m_loop.stop(); }); }); });
    m_signals.async_wait([this](const boost::system::error_code &error, int) {
        if (!error) {
            m_callers.post(LeaveRequested{});
        }
    });
    awaitReload();
    logEvent(Severity::Info, "node started");
    m_loop.run();
    logEvent(Severity::Info, "node stopped");
}

// Forwards reports to the control thread as well: the leading controller places models by them.
bool Node::postToCallers(CallerThreadMessage message)
{
    if (const auto *changed = std::get_if<ReportsChanged>(&message)) {
        m_control.postReports(changed->reports);
    }
    return m_callers.post(std::move(message));
}

// Proposals of the caller thread to the replicated registers go through the control thread. Replies are posted back to the caller
// thread.
void Node::connectRegisters()
{
    m_callers.connectOnce([this](const OnceCommand &command, const OnceReply &reply) {
        m_control.submit(encodePayload(ReplicatedMachine::Once, encode(command)), [this, reply](const SubmitReply &submitted) {
            boost::asio::post(m_callers.context(), [reply, submitted] {
                const auto *outcome = std::get_if<std::string>(&submitted.outcome);
                if (outcome != nullptr) {
                    reply(decodeOnceOutcome(*outcome));
                } else {
                    reply(std::get<Refusal>(submitted.outcome));
                }
            });
        });
    });
    m_callers.connectQuarantine([this](const QuarantineCommand &command, const QuarantineReply &reply) {
        m_control.submit(encodePayload(ReplicatedMachine::Quarantine, encode(command)), [this, reply](const SubmitReply &submitted) {
            boost::asio::post(m_callers.context(), [reply, submitted] {
                const auto *outcome = std::get_if<std::string>(&submitted.outcome);
                if (outcome != nullptr) {
                    reply(decodeQuarantineOutcome(*outcome));
                } else {
                    reply(std::get<Refusal>(submitted.outcome));
                }
            });
        });
    });
}

ControlListeners Node::controlListeners()
{
    ControlListeners listeners;
    listeners.state = [this](const std::shared_ptr<const RegionState> &state) {
        m_callers.post(StateChanged{state});
        m_endpoints.post(StateChanged{state});
    };
    listeners.quarantine = [this](const std::shared_ptr<const QuarantineRegister> &suspects) {
        m_callers.post(QuarantineChanged{suspects});
    };
    return listeners;
}

void Node::awaitReload()
{
    m_reloadSignal.async_wait([this](const boost::system::error_code &error, int) {
        if (error) {
            return;
        }
        reload();
        awaitReload();
    });
}

// Leaves all settings unchanged if the file is invalid.
void Node::reload()
{
    Settings reloaded;
    try {
        reloaded = readSettings(m_settingsFile);
    } catch (const Error &error) {
        logEvent(Severity::Warning, "settings not reloaded", {{"problem", error.what()}});
        return;
    }
    for (const SettingChange &change : compareSettings(*m_settings, reloaded)) {
        const bool isTaken = change.effect == ChangeEffect::AtRunTime;
        logEvent(isTaken ? Severity::Info : Severity::Warning,
                 isTaken ? "setting taken over" : "setting needs a restart",
                 {{"path", change.path}});
    }
    m_settings = std::make_shared<const Settings>(withRunTimeChanges(*m_settings, reloaded));
    m_callers.post(SettingsChanged{m_settings});
    m_endpoints.post(SettingsChanged{m_settings});
    m_control.postSettings(m_settings);
}

} // namespace

void runNode(const Settings &settings, const std::filesystem::path &settingsFile)
{
    Node(settings, settingsFile).run();
}

} // namespace Hemlockhill
