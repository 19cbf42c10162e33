// Repeatable and at-most-once calls of plain services.
#include "service_calls.h"

#include "hemlockhill/log.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::chrono::seconds RetryAfterNoEndpoint(2);
constexpr std::chrono::seconds RetryAfterQueueFull(1);
// Maximum number of endpoints to which a repeatable call is sent.
constexpr std::size_t MaximumDispatches = 3;
// How long an endpoint is chosen last after a failure.
constexpr Duration FailureAvoidanceTime = std::chrono::seconds(1);
// Timeout of a proposal to the register of idempotency keys.
constexpr Duration ProposalTimeout = std::chrono::seconds(2);

Refusal makeRefusal(Reason reason, Ran ran, std::string detail, std::optional<std::chrono::seconds> retryAfter = {})
{
    return Refusal{reason, ran, std::move(detail), retryAfter, {}};
}

// Unique per process start, so that claim ids are not reused after a restart.
std::string claimPrefix(const VmId &vm)
{
    std::random_device device;
    const std::uint64_t run = (std::uint64_t{device()} << 32U) | device();
    return vm.value + "-" + std::to_string(run) + "-";
}

} // namespace

// A call in progress: its current exchange, and the answer to its caller.
class ServiceCalls::Call : public std::enable_shared_from_this<Call>
{
public:
    Call(ServiceCalls &calls, HttpRequest request, Service service, RequestId id, std::shared_ptr<HttpResponder> responder)
        : m_calls(calls)
        , m_request(std::move(request))
        , m_service(std::move(service))
        , m_id(std::move(id))
        , m_responder(std::move(responder))
        , m_deadline(m_responder->receivedAt() + m_service.deadline)
    {
    }
    virtual ~Call() = default;
    Call(const Call &) = delete;
    Call &operator=(const Call &) = delete;

    virtual void start() = 0;

    void onHead(const ResponseHead &head)
    {
        m_answer = StoredAnswer{};
        m_answer.status = head.status;
        m_answer.contentType = std::string(findHeader(head.headers, "Content-Type"));
        m_answer.headers = forwardedServiceHeaders(head.headers);
        std::erase_if(m_answer.headers, [](const HttpHeader &header) { return boost::beast::iequals(header.name, "Content-Type"); });
    }

    void onBody(const std::string &bytes)
    {
        if (m_answer.body.size() + bytes.size() > m_calls.m_settings.callers.bodyLimit.value) {
            m_calls.m_hooks.send(CancelExchange{m_exchange});
            endExchange();
            failed(Reason::IncompleteAnswer, true);
            return;
        }
        m_answer.body += bytes;
        // Up to twice the size, since it grows by doubling.
        m_responder->holdAnswer(m_answer.body.capacity());
        m_calls.m_hooks.send(ReleaseBytes{m_exchange, bytes.size()});
    }

    void onEnded()
    {
        endExchange();
        answered(std::move(m_answer));
    }

    void onFailed(const ExchangeFailure &failure)
    {
        m_calls.m_avoidUntil[m_endpoint] = currentTime() + FailureAvoidanceTime;
        endExchange();
        failed(failure.reason, failure.mayHaveReached);
    }

protected:
    virtual void answered(StoredAnswer answer) = 0;
    virtual void failed(Reason reason, bool mayHaveReached) = 0;

    // Sends the call to an endpoint that has not been tried. Calls failed() with NoEndpoint or QueueFull if it cannot be sent.
    void dispatch(ConnectionChoice connection, std::optional<TimePoint> sendBefore)
    {
        if (currentTime() >= m_deadline) {
            failed(Reason::DeadlineExceeded, false);
            return;
        }
        const auto endpoint = m_calls.chooseEndpoint(m_service, m_tried);
        if (!endpoint) {
            failed(Reason::NoEndpoint, false);
            return;
        }
        StartExchange message;
        message.exchange = m_calls.m_hooks.nextExchange();
        message.address = endpoint->address;
        message.request = m_request;
        message.connection = connection;
        const EndpointSettings &limits = m_calls.m_settings.endpoints;
        const Duration timeLeft = std::max(m_deadline - currentTime(), Duration(std::chrono::milliseconds(1)));
        message.limits.connect = std::min(limits.connectTimeout, timeLeft);
        message.limits.firstByte = timeLeft;
        message.limits.reusedFirstByte = timeLeft;
        message.limits.betweenBytes = limits.betweenBytesTimeout;
        message.limits.body = m_calls.m_settings.callers.bodyLimit;
        message.limits.sendBefore = sendBefore;
        m_exchange = message.exchange;
        m_endpoint = endpoint->id;
        m_tried.insert(endpoint->id);
        if (!m_calls.m_hooks.send(std::move(message))) {
            failed(Reason::QueueFull, false);
            return;
        }
        m_calls.m_exchanges[m_exchange] = shared_from_this();
        ++m_calls.m_runningCalls[m_endpoint];
    }

    void endExchange()
    {
        if (m_calls.m_exchanges.erase(m_exchange) > 0) {
            --m_calls.m_runningCalls[m_endpoint];
        }
    }

    void answerCaller(StoredAnswer answer, bool replayed)
    {
        HttpResponse response;
        response.status = answer.status;
        response.contentType = std::move(answer.contentType);
        response.headers = std::move(answer.headers);
        response.headers.push_back({"Hemlockhill-Request", m_id.value});
        if (replayed) {
            response.headers.push_back({"Idempotency-Replayed", "true"});
            m_calls.m_metrics.countEvent("once_replayed");
        }
        response.body = std::move(answer.body);
        m_calls.m_metrics.observeWholeAnswer(currentTime() - (m_deadline - m_service.deadline));
        m_responder->answer(std::move(response));
    }

    void refuseCaller(const Refusal &refusal) { m_calls.m_hooks.refuse(*m_responder, refusal, m_id); }

    void end() { m_calls.end(shared_from_this()); }

    ServiceCalls &m_calls;
    HttpRequest m_request;
    Service m_service;
    RequestId m_id;
    std::shared_ptr<HttpResponder> m_responder;
    TimePoint m_deadline;
    ExchangeId m_exchange;
    EndpointId m_endpoint;
    std::set<EndpointId> m_tried;
    StoredAnswer m_answer;
};

// A call without an idempotency key. Retried on another endpoint if it cannot have run, or if its method is safe.
class ServiceCalls::RepeatableCall : public ServiceCalls::Call
{
public:
    using Call::Call;

    void start() override
    {
        m_responder->onDisconnected = [weak = weak_from_this()] {
            if (const auto self = std::static_pointer_cast<RepeatableCall>(weak.lock())) {
                self->cancel();
            }
        };
        // The loss of a reused connection would leave it unknown whether the call has run.
        dispatch(isSafeMethod(m_request.method) ? ConnectionChoice::PreferIdle : ConnectionChoice::FreshOnly, {});
    }

protected:
    void answered(StoredAnswer answer) override
    {
        answerCaller(std::move(answer), false);
        end();
    }

    void failed(Reason reason, bool mayHaveReached) override
    {
        m_mayHaveRun = m_mayHaveRun || mayHaveReached;
        const bool repeatable = !m_mayHaveRun || isSafeMethod(m_request.method);
        const bool mayRetry =
            reason != Reason::NoEndpoint && repeatable && m_tried.size() < MaximumDispatches && currentTime() < m_deadline;
        if (mayRetry) {
            m_calls.m_metrics.countRetry(reason);
            m_lastFailure = reason;
            dispatch(ConnectionChoice::FreshOnly, {});
            return;
        }
        // If no untried endpoint is left, the last failure is more informative than NoEndpoint.
        const Reason reportedReason = reason == Reason::NoEndpoint ? m_lastFailure.value_or(reason) : reason;
        refuseCaller(makeRefusal(reportedReason, m_mayHaveRun ? Ran::Unknown : Ran::No, {}, RetryAfterNoEndpoint));
        end();
    }

private:
    void cancel()
    {
        m_calls.m_metrics.countRefusal(Reason::CallerGone);
        m_calls.m_hooks.send(CancelExchange{m_exchange});
        endExchange();
        end();
    }

    bool m_mayHaveRun = false;
    std::optional<Reason> m_lastFailure;
};

// A call with an idempotency key, which must run at most once. Performs the actions of the OnceCall state machine.
class ServiceCalls::OnceOnlyCall : public ServiceCalls::Call
{
public:
    OnceOnlyCall(
        ServiceCalls &calls, HttpRequest request, Service service, RequestId id, std::shared_ptr<HttpResponder> responder, OnceOnly once)
        : Call(calls, std::move(request), std::move(service), std::move(id), std::move(responder))
        , m_stateMachine(makeClaim(std::move(once)), makeOptions())
    {
    }

    void start() override
    {
        m_responder->onDisconnected = [weak = weak_from_this()] {
            if (const auto self = std::static_pointer_cast<OnceOnlyCall>(weak.lock())) {
                self->m_calls.m_metrics.countRefusal(Reason::CallerGone);
                self->handle(CallerDisconnected{});
            }
        };
        carryOut(m_stateMachine.start(currentTime()));
    }

protected:
    void answered(StoredAnswer answer) override { handle(CallAnswered{std::move(answer)}); }

    void failed(Reason reason, bool mayHaveReached) override
    {
        const bool late = !mayHaveReached && m_sendBefore && currentTime() >= *m_sendBefore;
        // Deferred: the state machine may respond with the next dispatch, which must not happen while this one is still running.
        boost::asio::post(m_calls.m_loop, [self = self(), event = CallFailed{late ? Reason::DeadlineExceeded : reason, mayHaveReached}] {
            self->handle(event);
        });
    }

private:
    std::shared_ptr<OnceOnlyCall> self() { return std::static_pointer_cast<OnceOnlyCall>(shared_from_this()); }

    ClaimKey makeClaim(OnceOnly once)
    {
        ClaimKey claim;
        claim.key = std::move(once.key);
        claim.scope = std::move(once.scope);
        claim.service = m_service.id;
        claim.call = digestOf(m_request);
        claim.answerWindow = std::chrono::duration_cast<std::chrono::milliseconds>(m_service.deadline);
        claim.node = m_calls.m_settings.vm;
        claim.claim = ClaimId{m_calls.m_claimPrefix + std::to_string(++m_calls.m_lastClaim)};
        return claim;
    }

    OnceCallOptions makeOptions() const
    {
        OnceCallOptions options;
        options.dispatchWindow = std::min(options.dispatchWindow, m_service.deadline);
        return options;
    }

    void handle(const OnceCallEvent &event)
    {
        if (!m_stateMachine.closed()) {
            carryOut(m_stateMachine.handle(event, currentTime()));
        }
    }

    void carryOut(const std::vector<OnceCallAction> &actions)
    {
        for (const OnceCallAction &action : actions) {
            std::visit([this](const auto &typed) { carryOut(typed); }, action);
        }
    }

    void carryOut(const ProposeClaim &action)
    {
        m_calls.m_proposer.propose(action.claim, [self = self()](const std::variant<StepOutcome, Refusal> &reply) {
            if (const auto *outcome = std::get_if<StepOutcome>(&reply)) {
                self->handle(ClaimReplied{*outcome});
            } else {
                self->handle(ClaimFailed{std::get<Refusal>(reply)});
            }
        });
        scheduleEvent(ProposalTimeout, ClaimFailed{makeRefusal(Reason::NoQuorum, Ran::Unknown, {})});
    }

    void carryOut(const DispatchCall &action)
    {
        m_sendBefore = action.sendBefore;
        dispatch(ConnectionChoice::FreshOnly, action.sendBefore);
    }

    void carryOut(const ProposeResolution &action)
    {
        if (action.delay > Duration(0)) {
            m_calls.m_timers.after(action.delay, m_calls.m_loop, [self = self(), step = action.step] { self->proposeSettlement(step); });
        } else {
            proposeSettlement(action.step);
        }
    }

    void proposeSettlement(const OnceStep &step)
    {
        m_calls.m_proposer.propose(step, [self = self(), proposal = ++m_lastProposal](const std::variant<StepOutcome, Refusal> &reply) {
            const auto *outcome = std::get_if<StepOutcome>(&reply);
            const bool committed =
                outcome != nullptr && (outcome->verdict == OnceVerdict::Recorded || outcome->verdict == OnceVerdict::Released);
            self->onSettlementReply(proposal, committed);
        });
        m_calls.m_timers.after(ProposalTimeout, m_calls.m_loop, [weak = weak_from_this(), proposal = m_lastProposal] {
            if (const auto self = std::static_pointer_cast<OnceOnlyCall>(weak.lock())) {
                self->onSettlementReply(proposal, false);
            }
        });
    }

    // Reports at most one failure per proposal, whether a reply or a timeout. A commit is always reported, even after a timeout.
    void onSettlementReply(std::uint64_t proposal, bool committed)
    {
        if (!committed && proposal <= m_lastRepliedProposal) {
            return;
        }
        m_lastRepliedProposal = std::max(m_lastRepliedProposal, proposal);
        handle(ResolutionReplied{committed});
    }

    void carryOut(const StartOutcomeTimer &action) { scheduleEvent(action.delay, OutcomeTimedOut{}); }
    void carryOut(const AnswerCaller &action) { answerCaller(action.answer, action.replayed); }
    void carryOut(const RefuseCall &action) { refuseCaller(action.refusal); }
    void carryOut(const CallClosed &) { end(); }

    void scheduleEvent(Duration delay, OnceCallEvent event)
    {
        m_calls.m_timers.after(delay, m_calls.m_loop, [weak = weak_from_this(), event = std::move(event)] {
            if (const auto self = std::static_pointer_cast<OnceOnlyCall>(weak.lock())) {
                self->handle(event);
            }
        });
    }

    OnceCall m_stateMachine;
    std::optional<TimePoint> m_sendBefore;
    std::uint64_t m_lastProposal = 0;
    std::uint64_t m_lastRepliedProposal = 0;
};

ServiceCalls::ServiceCalls(
    const Settings &settings, TimerService &timers, Metrics &metrics, boost::asio::io_context &loop, ServiceCallHooks hooks)
    : m_settings(settings)
    , m_timers(timers)
    , m_metrics(metrics)
    , m_loop(loop)
    , m_hooks(std::move(hooks))
    , m_proposer(loop, m_hooks.proposeOnce)
    , m_claimPrefix(claimPrefix(settings.vm))
    , m_state(std::make_shared<const RegionState>())
{
}

ServiceCalls::~ServiceCalls() = default;

void ServiceCalls::run(HttpRequest request, const std::shared_ptr<HttpResponder> &responder, const RequestId &id, bool leaving)
{
    m_metrics.countRequest("services");
    const auto target = parseServiceTarget(request.target);
    if (const auto refusal = findRefusal(request, target, leaving)) {
        m_hooks.refuse(*responder, *refusal, id);
        return;
    }
    const Service &service = m_state->services.at(target->service);
    auto kind = classifyCall(request, service);
    if (const auto *refusal = std::get_if<Refusal>(&kind)) {
        m_hooks.refuse(*responder, *refusal, id);
        return;
    }
    request.target = target->target;
    request.headers = forwardedServiceHeaders(request.headers);
    request.headers.push_back({"Hemlockhill-Request", id.value});
    CallPtr call;
    if (auto *once = std::get_if<OnceOnly>(&kind)) {
        call = std::make_shared<OnceOnlyCall>(*this, std::move(request), service, id, responder, std::move(*once));
    } else {
        call = std::make_shared<RepeatableCall>(*this, std::move(request), service, id, responder);
    }
    m_calls.insert(call);
    call->start();
}

std::optional<Refusal> ServiceCalls::findRefusal(const HttpRequest &request, const std::optional<ServiceTarget> &target, bool leaving) const
{
    const Ran ran = ranBefore(request);
    if (leaving) {
        return makeRefusal(Reason::Draining, ran, "this node is shutting down", RetryAfterQueueFull);
    }
    if (m_calls.size() >= m_settings.callers.requestLimit) {
        return makeRefusal(Reason::QueueFull, ran, "the request queue of this node is full", RetryAfterQueueFull);
    }
    if (!target || !m_state->services.contains(target->service)) {
        return makeRefusal(Reason::UnknownService, ran, "no such service is declared");
    }
    if (!isServiceMethod(request.method)) {
        return makeRefusal(Reason::MethodNotAllowed, ran, "method " + request.method + " is not allowed for services");
    }
    return std::nullopt;
}

std::optional<Endpoint> ServiceCalls::chooseEndpoint(const Service &service, const std::set<EndpointId> &tried)
{
    const TimePoint now = currentTime();
    std::erase_if(m_avoidUntil, [now](const auto &entry) { return entry.second <= now; });
    const Endpoint *best = nullptr;
    const auto rank = [this](const Endpoint &endpoint) {
        const bool elsewhere = endpoint.dataCentre != m_settings.dataCentre;
        return std::tuple(m_avoidUntil.contains(endpoint.id), m_runningCalls[endpoint.id], elsewhere);
    };
    for (const EndpointId &id : service.endpoints) {
        const auto found = m_state->endpoints.find(id);
        if (found == m_state->endpoints.end() || found->second.phase != EndpointPhase::Active || tried.contains(id)) {
            continue;
        }
        if (best == nullptr || rank(found->second) < rank(*best)) {
            best = &found->second;
        }
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

bool ServiceCalls::handle(const CallerThreadMessage &message)
{
    const auto withCall = [this](ExchangeId exchange, const auto &action) {
        const CallPtr call = findCall(exchange);
        if (call) {
            action(*call);
        }
        return call != nullptr;
    };
    return std::visit(
        Overloaded{
            [&](const ExchangeSending &event) { return findCall(event.exchange) != nullptr; },
            [&](const ExchangeHead &event) { return withCall(event.exchange, [&](Call &call) { call.onHead(event.head); }); },
            [&](const ExchangeBody &event) { return withCall(event.exchange, [&](Call &call) { call.onBody(event.bytes); }); },
            [&](const ExchangeEnded &event) { return withCall(event.exchange, [](Call &call) { call.onEnded(); }); },
            [&](const ExchangeFailed &event) { return withCall(event.exchange, [&](Call &call) { call.onFailed(event.failure); }); },
            [](const auto &) { return false; },
        },
        message);
}

ServiceCalls::CallPtr ServiceCalls::findCall(ExchangeId exchange) const
{
    const auto found = m_exchanges.find(exchange);
    return found == m_exchanges.end() ? nullptr : found->second;
}

void ServiceCalls::end(const CallPtr &call)
{
    if (m_calls.erase(call) > 0) {
        m_hooks.onEnded();
    }
}

} // namespace Hemlockhill
