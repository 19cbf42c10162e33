// The event loop of the peer thread: incoming calls, and the connections to other nodes.
#include "hemlockhill/peer_thread.h"

#include "hemlockhill/log.h"
#include "incoming_connections.h"
#include "net/socket_options.h"
#include "peer_codec.h"
#include "peer_link.h"

#include <kj/async-io.h>

#include <array>
#include <future>
#include <map>
#include <sys/eventfd.h>
#include <unistd.h>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::size_t RingCapacity = 16'384;
// Maximum number of incoming calls that wait for a reply from the control thread.
constexpr std::size_t IncomingLimit = 4096;
// Delay after a failed accept, for instance when the process is out of file descriptors.
constexpr kj::Duration AcceptRetryDelay = 20 * kj::MILLISECONDS;

// Incoming calls that the control thread has not answered yet.
class IncomingCalls
{
public:
    explicit IncomingCalls(PeerThread::EventSink &eventSink)
        : m_eventSink(eventSink)
    {
    }

    kj::Promise<PeerReply> forward(const VmId &from, PeerRequest request)
    {
        removeAbandoned();
        if (m_pending.size() >= IncomingLimit) {
            return KJ_EXCEPTION(OVERLOADED, "too many pending incoming calls");
        }
        const IncomingId id{++m_lastId};
        auto pending = kj::newPromiseAndFulfiller<PeerReply>();
        m_pending.emplace(id, kj::mv(pending.fulfiller));
        if (!m_eventSink(IncomingCall{id, from, std::move(request)})) {
            return KJ_EXCEPTION(OVERLOADED, "event queue of the control thread is full");
        }
        return kj::mv(pending.promise);
    }

    // Forwards a one-way message.
    void notify(const VmId &from, PeerRequest request) { m_eventSink(IncomingCall{IncomingId{0}, from, std::move(request)}); }

    void answer(AnswerCall &&answer)
    {
        const auto found = m_pending.find(answer.incoming);
        if (found != m_pending.end()) {
            found->second->fulfill(std::move(answer.reply));
            m_pending.erase(found);
        }
    }

private:
    // Removes calls whose caller has cancelled or disconnected.
    void removeAbandoned()
    {
        for (auto entry = m_pending.begin(); entry != m_pending.end();) {
            entry = entry->second->isWaiting() ? std::next(entry) : m_pending.erase(entry);
        }
    }

    PeerThread::EventSink &m_eventSink;
    std::map<IncomingId, kj::Own<kj::PromiseFulfiller<PeerReply>>> m_pending;
    std::uint64_t m_lastId = 0;
};

// The interface available to a node after a successful hello.
// kj::Own destroys it by its own type. NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class PeerServer final : public Wire::Peer::Server
{
public:
    PeerServer(IncomingCalls &calls, VmId from)
        : m_calls(calls)
        , m_from(std::move(from))
    {
    }

    kj::Promise<void> consensus(ConsensusContext context) override
    {
        ConsensusBatch batch;
        for (const auto envelope : context.getParams().getEnvelopes()) {
            batch.envelopes.push_back(read(envelope));
        }
        m_calls.notify(m_from, std::move(batch));
        return kj::READY_NOW;
    }

    kj::Promise<void> identity(IdentityContext context) override { return forward<IdentityReply>(IdentityRequest{}, context); }

    kj::Promise<void> follow(FollowContext context) override
    {
        return forward<FollowReply>(read(context.getParams().getRequest()), context);
    }

    kj::Promise<void> attest(AttestContext context) override
    {
        const auto params = context.getParams();
        return forward<AttestReply>(AttestRequest{Revision{params.getKnown()}, params.getState()}, context);
    }

    kj::Promise<void> submit(SubmitContext context) override
    {
        const auto payload = context.getParams().getPayload().asChars();
        return forward<SubmitReply>(SubmitRequest{std::string(payload.begin(), payload.size())}, context);
    }

    kj::Promise<void> query(QueryContext context) override
    {
        const auto params = context.getParams();
        return forward<QueryReply>(QueryRequest{std::string(params.getStatement().cStr()), params.getJson()}, context);
    }

    kj::Promise<void> leave(LeaveContext context) override
    {
        return forward<LeaveReply>(LeaveRequest{VoterId{std::string(context.getParams().getVoter().cStr())}}, context);
    }

private:
    template<typename Reply, typename Context>
    kj::Promise<void> forward(PeerRequest request, Context context)
    {
        return m_calls.forward(m_from, std::move(request)).then([context](PeerReply &&reply) mutable {
            const auto *typed = std::get_if<Reply>(&reply);
            if (typed == nullptr) {
                kj::throwFatalException(KJ_EXCEPTION(FAILED, "reply type does not match the request"));
            }
            write(context.getResults().initReply(), *typed);
        });
    }

    IncomingCalls &m_calls;
    VmId m_from;
};

// Grants access only to VMs of this region that use the same protocol version.
// kj::Own destroys it by its own type. NOLINTNEXTLINE(cppcoreguidelines-virtual-class-destructor)
class GateServer final : public Wire::PeerGate::Server
{
public:
    // Calls `admit` when a hello has been accepted.
    GateServer(const Settings &settings, Metrics &metrics, IncomingCalls &calls, std::function<void()> admit)
        : m_settings(settings)
        , m_metrics(metrics)
        , m_calls(calls)
        , m_admit(std::move(admit))
    {
    }

    kj::Promise<void> hello(HelloContext context) override
    {
        const auto params = context.getParams();
        const ClusterId cluster{std::string(params.getCluster().cStr())};
        const VmId vm{std::string(params.getVm().cStr())};
        if (const char *problem = refusalReason(cluster, vm, params.getProtocol())) {
            m_metrics.countEvent("peer_refused");
            logEvent(Severity::Warning, "peer refused", {{"vm", vm.value}, {"cluster", cluster.value}, {"problem", problem}});
            return KJ_EXCEPTION(FAILED, "peer refused", problem);
        }
        m_admit();
        context.getResults().setPeer(kj::heap<PeerServer>(m_calls, vm));
        return kj::READY_NOW;
    }

private:
    const char *refusalReason(const ClusterId &cluster, const VmId &vm, std::uint32_t protocol) const
    {
        if (cluster != m_settings.cluster) {
            return "cluster does not match";
        }
        if (protocol != Wire::PROTOCOL_VERSION) {
            return "protocol version does not match";
        }
        if (m_settings.peers.openMembership) {
            return nullptr;
        }
        for (const PeerSettings &peer : m_settings.peers.others) {
            if (peer.vm == vm) {
                return nullptr;
            }
        }
        return "VM does not belong to this region";
    }

    const Settings &m_settings;
    Metrics &m_metrics;
    IncomingCalls &m_calls;
    std::function<void()> m_admit;
};

} // namespace

// The state that is used only on the event loop.
class PeerThread::Loop
{
public:
    explicit Loop(PeerThread &owner)
        : m_owner(owner)
        , m_io(kj::setupAsyncIo())
        , m_incoming(owner.m_eventSink)
        , m_connections(owner.m_settings.peers,
                        m_io.provider->getTimer(),
                        owner.m_metrics,
                        [this](std::function<void()> admit) {
                            return kj::heap<GateServer>(m_owner.m_settings, m_owner.m_metrics, m_incoming, std::move(admit));
                        })
        , m_wake(m_io.lowLevelProvider->wrapInputFd(owner.m_wakeFile))
    {
        for (const PeerSettings &peer : owner.m_settings.peers.others) {
            add(peer);
        }
    }

    void listen()
    {
        const std::string address = m_owner.m_settings.peers.listen.text();
        m_listener = m_io.provider->getNetwork().parseAddress(address).wait(m_io.waitScope)->listen();
    }

    void run()
    {
        const auto accepting = accept().eagerlyEvaluate([](kj::Exception &&problem) {
            logEvent(Severity::Error, "peer listener failed", {{"problem", problem.getDescription().cStr()}});
        });
        while (!m_owner.m_stopping) {
            m_wake->read(m_wakeBytes.data(), m_wakeBytes.size()).wait(m_io.waitScope);
            while (auto message = m_owner.m_ring.pop()) {
                std::visit([this](auto &&typed) { handle(std::forward<decltype(typed)>(typed)); }, std::move(*message));
            }
        }
    }

private:
    // Serves all connections that arrive. A failed accept is repeated after a delay, since its cause may pass.
    kj::Promise<void> accept()
    {
        // An accept that fails at once throws.
        return kj::evalNow([this] { return m_listener->accept(); })
            .then(
                [this](kj::Own<kj::AsyncIoStream> &&stream) {
                    m_acceptFails = false;
                    KJ_IF_MAYBE (descriptor, stream->getFd()) {
                        enableDeadPeerDetection(*descriptor);
                    }
                    m_connections.accept(kj::mv(stream));
                    return accept();
                },
                [this](kj::Exception &&problem) {
                    m_owner.m_metrics.countEvent("peer_accept_failed");
                    if (!std::exchange(m_acceptFails, true)) {
                        logEvent(Severity::Warning, "peer accept failed", {{"problem", problem.getDescription().cStr()}});
                    }
                    return m_io.provider->getTimer().afterDelay(AcceptRetryDelay).then([this] { return accept(); });
                });
    }

    void add(const PeerSettings &peer)
    {
        m_links.try_emplace(peer.vm, std::make_unique<PeerLink>(m_owner.m_settings, peer, m_io, m_owner.m_metrics, [this](PeerEvent event) {
                                m_owner.m_eventSink(std::move(event));
                            }));
    }

    void handle(const AddPeer &message) { add(message.peer); }

    void handle(AnswerCall &&answer) { m_incoming.answer(std::move(answer)); }

    void handle(StartCall &&call)
    {
        const auto link = m_links.find(call.to);
        if (link != m_links.end()) {
            link->second->start(std::move(call));
        } else {
            m_owner.m_eventSink(PeerCallFailed{call.call, call.to});
        }
    }

    PeerThread &m_owner;
    kj::AsyncIoContext m_io;
    IncomingCalls m_incoming;
    IncomingConnections m_connections;
    kj::Own<kj::ConnectionReceiver> m_listener;
    // Whether the last accept failed.
    bool m_acceptFails = false;
    kj::Own<kj::AsyncInputStream> m_wake;
    std::array<kj::byte, sizeof(std::uint64_t)> m_wakeBytes{};
    std::map<VmId, std::unique_ptr<PeerLink>> m_links;
};

PeerThread::PeerThread(const Settings &settings, Metrics &metrics, EventSink eventSink)
    : m_settings(settings)
    , m_metrics(metrics)
    , m_eventSink(std::move(eventSink))
    , m_ring(RingCapacity)
{
}

PeerThread::~PeerThread()
{
    stop();
}

void PeerThread::start()
{
    m_wakeFile = ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    if (m_wakeFile < 0) {
        throw EnvironmentError("cannot create an eventfd");
    }
    const auto started = std::make_shared<std::promise<std::string>>();
    auto failure = started->get_future();
    m_thread = std::thread([this, started] {
        pthread_setname_np(pthread_self(), "peers");
        run([started](const std::string &text) { started->set_value(text); });
    });
    const std::string text = failure.get();
    if (!text.empty()) {
        throw EnvironmentError("cannot listen on " + m_settings.peers.listen.text() + ": " + text);
    }
}

void PeerThread::run(const std::function<void(const std::string &failure)> &started)
{
    Loop loop(*this);
    const auto problem = kj::runCatchingExceptions([&loop] { loop.listen(); });
    KJ_IF_MAYBE (exception, problem) {
        started(exception->getDescription().cStr());
        return;
    }
    started({});
    loop.run();
}

void PeerThread::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        wake();
        m_thread.join();
    }
    if (m_wakeFile >= 0) {
        ::close(std::exchange(m_wakeFile, -1));
    }
}

bool PeerThread::post(PeerThreadMessage message)
{
    if (!m_ring.push(std::move(message))) {
        m_metrics.countEvent("peer_ring_full");
        return false;
    }
    wake();
    return true;
}

void PeerThread::wake() const
{
    const std::uint64_t one = 1;
    // The write fails only when the eventfd counter would overflow; the loop then wakes up anyway.
    [[maybe_unused]] const auto written = ::write(m_wakeFile, &one, sizeof one);
}

} // namespace Hemlockhill
