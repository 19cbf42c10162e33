// State machine of a model request, implemented with Boost.MSM.

// The transition table exceeds the default vector size of Boost.MPL.
#define BOOST_MPL_CFG_NO_PREPROCESSED_HEADERS
#define BOOST_MPL_LIMIT_VECTOR_SIZE 30
#define BOOST_MPL_LIMIT_MAP_SIZE 30

#include "hemlockhill/attempt.h"

#include "endpoint_error.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <utility>

namespace Hemlockhill
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

// Maximum size of an unstreamed response or of the body of an endpoint's error response.
constexpr std::size_t CollectedLimitBytes = 16'000'000;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusTooLarge = 413;
constexpr unsigned StatusUnprocessable = 422;
constexpr std::string_view EventStreamType = "text/event-stream";
constexpr std::string_view ErrorEvent = "event: error";

struct Admitted {
};
struct Dispatched {
    EndpointId endpoint;
    ExchangeId exchange;
};
struct StreamHead {
};
struct PlainHead {
};
// The exchange failed before the caller received any part of its response.
struct LostBeforeOutput {
    SeekEndpoint seek;
};
// The exchange failed in the middle of a streamed response.
struct LostDuringStream {
    SeekEndpoint seek;
};
struct Completed {
};
struct Failed {
    Refusal refusal;
};
struct CallerDisconnected {
};

// What proves that an exchange did not begin to run its request.
enum class NotBegunEvidence {
    // No byte of the request left this VM.
    NothingSent,
    // The endpoint states it in the complete response to this exchange; the endpoint thread drops responses to others.
    StatedByEndpoint
};

// Data that the transitions use in addition to the state.
struct Context {
    AttemptActions actions;
    EndpointId endpoint;
    ExchangeId exchange;
    bool exchangeOpen = false;
    bool exchangeStarted = false;
    // Set once the current exchange is proven not to have begun.
    std::optional<NotBegunEvidence> notBegun;
    // Whether any earlier exchange may have begun at its endpoint.
    bool earlierMayHaveBegun = false;
    bool forwarded = false;
    TokenCount nextToken;
    std::string contentType;
    std::string body;

    // Whether this or an earlier exchange may have begun. Nothing but evidence takes back that one that was started may have.
    bool mayHaveBegun() const { return (exchangeStarted && !notBegun) || earlierMayHaveBegun; }

    Ran ran() const
    {
        if (forwarded) {
            return Ran::Yes;
        }
        return mayHaveBegun() ? Ran::Unknown : Ran::No;
    }

    void cancel()
    {
        if (std::exchange(exchangeOpen, false)) {
            actions.emplace_back(CancelAttemptExchange{exchange});
        }
    }
};

struct StartExchangeAction {
    template<typename Machine, typename Source, typename Target>
    void operator()(const Dispatched &event, Machine &machine, Source &, Target &) const
    {
        Context &context = *machine.context;
        context.endpoint = event.endpoint;
        context.exchange = event.exchange;
        context.exchangeOpen = true;
        context.exchangeStarted = true;
        context.notBegun.reset();
        context.actions.emplace_back(StartAttemptExchange{event.exchange, event.endpoint, context.nextToken});
    }
};

struct SeekAction {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &event, Machine &machine, Source &, Target &) const
    {
        Context &context = *machine.context;
        context.cancel();
        context.earlierMayHaveBegun = context.mayHaveBegun();
        context.exchangeStarted = false;
        context.body.clear();
        context.actions.emplace_back(event.seek);
    }
};

struct AnswerAction {
    template<typename Machine, typename Source, typename Target>
    void operator()(const Completed &, Machine &machine, Source &, Target &) const
    {
        Context &context = *machine.context;
        context.exchangeOpen = false;
        context.actions.emplace_back(SendResponse{std::move(context.contentType), std::move(context.body)});
    }
};

struct EndAction {
    template<typename Machine, typename Source, typename Target>
    void operator()(const Completed &, Machine &machine, Source &, Target &) const
    {
        machine.context->exchangeOpen = false;
        machine.context->actions.emplace_back(EndStream{});
    }
};

struct RefuseAction {
    template<typename Machine, typename Source, typename Target>
    void operator()(const Failed &event, Machine &machine, Source &, Target &) const
    {
        Context &context = *machine.context;
        context.cancel();
        Refusal refusal = event.refusal;
        refusal.ran = context.ran();
        if (context.forwarded) {
            context.actions.emplace_back(SendErrorEvent{std::move(refusal)});
        } else {
            context.actions.emplace_back(RefuseCaller{std::move(refusal)});
        }
    }
};

struct AbandonAction {
    template<typename Machine, typename Source, typename Target>
    void operator()(const CallerDisconnected &, Machine &machine, Source &, Target &) const
    {
        machine.context->cancel();
    }
};

template<AttemptState Value>
struct NamedState : msm::front::state<> {
};
using Arrived = NamedState<AttemptState::Arrived>;
using Queued = NamedState<AttemptState::Queued>;
using InDispatch = NamedState<AttemptState::Dispatched>;
using Collecting = NamedState<AttemptState::Collecting>;
using Streaming = NamedState<AttemptState::Streaming>;
using Interrupted = NamedState<AttemptState::Interrupted>;
using Resumed = NamedState<AttemptState::Resumed>;
using Finished = NamedState<AttemptState::Finished>;
using Refused = NamedState<AttemptState::Refused>;
using Abandoned = NamedState<AttemptState::Abandoned>;

struct LifeCycleDefinition : msm::front::state_machine_def<LifeCycleDefinition> {
    using no_exception_thrown = int;
    using no_message_queue = int;
    using initial_state = Arrived;

    struct transition_table // NOLINT(readability-identifier-naming): the library's name
        : boost::mpl::vector<Row<Arrived, Admitted, Queued, none, none>,
                             Row<Queued, Dispatched, InDispatch, StartExchangeAction, none>,
                             Row<InDispatch, StreamHead, Streaming, none, none>,
                             Row<InDispatch, PlainHead, Collecting, none, none>,
                             Row<InDispatch, LostBeforeOutput, Queued, SeekAction, none>,
                             Row<Collecting, Completed, Finished, AnswerAction, none>,
                             Row<Collecting, LostBeforeOutput, Queued, SeekAction, none>,
                             Row<Streaming, Completed, Finished, EndAction, none>,
                             Row<Streaming, LostBeforeOutput, Queued, SeekAction, none>,
                             Row<Streaming, LostDuringStream, Interrupted, SeekAction, none>,
                             Row<Interrupted, Dispatched, Resumed, StartExchangeAction, none>,
                             Row<Resumed, StreamHead, Streaming, none, none>,
                             Row<Resumed, LostDuringStream, Interrupted, SeekAction, none>,
                             Row<Arrived, Failed, Refused, RefuseAction, none>,
                             Row<Queued, Failed, Refused, RefuseAction, none>,
                             Row<InDispatch, Failed, Refused, RefuseAction, none>,
                             Row<Collecting, Failed, Refused, RefuseAction, none>,
                             Row<Streaming, Failed, Refused, RefuseAction, none>,
                             Row<Interrupted, Failed, Refused, RefuseAction, none>,
                             Row<Resumed, Failed, Refused, RefuseAction, none>,
                             Row<Arrived, CallerDisconnected, Abandoned, AbandonAction, none>,
                             Row<Queued, CallerDisconnected, Abandoned, AbandonAction, none>,
                             Row<InDispatch, CallerDisconnected, Abandoned, AbandonAction, none>,
                             Row<Collecting, CallerDisconnected, Abandoned, AbandonAction, none>,
                             Row<Streaming, CallerDisconnected, Abandoned, AbandonAction, none>,
                             Row<Interrupted, CallerDisconnected, Abandoned, AbandonAction, none>,
                             Row<Resumed, CallerDisconnected, Abandoned, AbandonAction, none>> {
    };

    // Ignores events that do not apply to the current state.
    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    Context *context = nullptr;
};

using LifeCycle = msm::back::state_machine<LifeCycleDefinition>;

// Boost.MSM numbers the states in the order in which the transition table first names them, sources before targets.
AttemptState stateOf(int number)
{
    static constexpr AttemptState Order[] = {AttemptState::Arrived,
                                             AttemptState::Queued,
                                             AttemptState::Dispatched,
                                             AttemptState::Collecting,
                                             AttemptState::Streaming,
                                             AttemptState::Interrupted,
                                             AttemptState::Resumed,
                                             AttemptState::Finished,
                                             AttemptState::Refused,
                                             AttemptState::Abandoned};
    return Order[number];
}

// Returns true for status codes that report an error in the request itself, which another endpoint would return too.
bool isRequestError(unsigned status)
{
    return status == StatusBadRequest || status == StatusTooLarge || status == StatusUnprocessable;
}

} // namespace

class Attempt::Machine
{
public:
    explicit Machine(AttemptOptions options)
        : m_options(options)
    {
        m_lifeCycle.context = &m_context;
        m_lifeCycle.start();
    }

    template<typename Event>
    AttemptActions process(const Event &event)
    {
        m_lifeCycle.process_event(event);
        return take();
    }

    AttemptState state() const { return stateOf(m_lifeCycle.current_state()[0]); }
    const Context &context() const { return m_context; }
    bool isCurrent(ExchangeId exchange) const { return m_context.exchangeOpen && m_context.exchange == exchange; }

    AttemptActions dispatch(const EndpointId &endpoint, ExchangeId exchange);
    AttemptActions onHead(unsigned status, std::string_view contentType);
    AttemptActions onBody(std::string_view bytes);
    AttemptActions onEnded();
    AttemptActions onFailed(const ExchangeFailure &failure);
    void onSending() { m_sent = true; }

private:
    enum class EventDisposition { Forward, Drop, Completed, Invalid };

    AttemptActions take() { return std::exchange(m_context.actions, {}); }
    AttemptActions collect(std::string_view bytes);
    AttemptActions stream(std::string_view bytes);
    EventDisposition classify(const StreamEvent &event, ForwardEvents &forward);
    EventDisposition classifyWithoutOffset(const StreamEvent &event, ForwardEvents &forward);
    void forwardPending(ForwardEvents &forward);
    AttemptActions onEndpointRefusal();
    AttemptActions onLost(Reason reason, bool connectionOnly);
    bool mayDispatchAgain() const;

    AttemptOptions m_options;
    Context m_context;
    LifeCycle m_lifeCycle;
    std::uint32_t m_exchanges = 0;
    bool m_sent = false;
    unsigned m_status = 0;
    EventStreamSplitter m_splitter;
    // True once an event of the current exchange carried a token.
    bool m_tokenInExchange = false;
    // True once an event carried a token offset, so that the response can be resumed.
    bool m_hasOffsets = false;
    // True once an event without a token has been forwarded after the last token.
    bool m_trailerForwarded = false;
    // Events without a token that a resumed exchange sent before its first token.
    std::string m_deferredEvents;
};

AttemptActions Attempt::Machine::dispatch(const EndpointId &endpoint, ExchangeId exchange)
{
    const AttemptState current = state();
    if (current != AttemptState::Queued && current != AttemptState::Interrupted) {
        return {};
    }
    ++m_exchanges;
    m_sent = false;
    m_status = 0;
    m_splitter = {};
    m_tokenInExchange = false;
    m_deferredEvents.clear();
    return process(Dispatched{endpoint, exchange});
}

AttemptActions Attempt::Machine::onHead(unsigned status, std::string_view contentType)
{
    if (state() != AttemptState::Dispatched && state() != AttemptState::Resumed) {
        return {};
    }
    m_status = status;
    m_context.contentType = std::string(contentType);
    if (status == StatusOk && m_options.stream && contentType.starts_with(EventStreamType)) {
        return process(StreamHead{});
    }
    if (state() == AttemptState::Resumed) {
        return onLost(Reason::EndpointRefused, false);
    }
    return process(PlainHead{});
}

AttemptActions Attempt::Machine::onBody(std::string_view bytes)
{
    switch (state()) {
    case AttemptState::Collecting:
        return collect(bytes);
    case AttemptState::Streaming:
        return stream(bytes);
    default:
        return {};
    }
}

AttemptActions Attempt::Machine::collect(std::string_view bytes)
{
    if (m_context.body.size() + bytes.size() > CollectedLimitBytes) {
        return onLost(Reason::IncompleteAnswer, false);
    }
    m_context.body += bytes;
    return {};
}

AttemptActions Attempt::Machine::stream(std::string_view bytes)
{
    ForwardEvents forward;
    forward.first = !m_context.forwarded;
    EventDisposition disposition = EventDisposition::Forward;
    for (const StreamEvent &event : m_splitter.feed(bytes)) {
        disposition = classify(event, forward);
        if (disposition == EventDisposition::Completed || disposition == EventDisposition::Invalid) {
            break;
        }
    }
    if (!forward.bytes.empty()) {
        m_context.forwarded = true;
        m_context.actions.emplace_back(std::move(forward));
    }
    if (disposition == EventDisposition::Completed) {
        return process(Completed{});
    }
    if (disposition == EventDisposition::Invalid) {
        return onLost(Reason::IncompleteAnswer, false);
    }
    if (m_splitter.pendingBytes() > EventLimitBytes) {
        return onLost(Reason::OversizedAnswer, false);
    }
    return take();
}

// Drops repeated tokens. A missing token invalidates the exchange, and the request is resumed after the last token delivered to the
// caller.
Attempt::Machine::EventDisposition Attempt::Machine::classify(const StreamEvent &event, ForwardEvents &forward)
{
    if (event.isEndMarker()) {
        forwardPending(forward);
        forward.bytes += event.bytes;
        return EventDisposition::Completed;
    }
    if (event.bytes.starts_with(ErrorEvent)) {
        return EventDisposition::Invalid;
    }
    const auto offset = tokenOffsetOf(event);
    if (!offset) {
        return classifyWithoutOffset(event, forward);
    }
    if (*offset > m_context.nextToken) {
        return EventDisposition::Invalid;
    }
    if (*offset < m_context.nextToken) {
        return EventDisposition::Drop;
    }
    m_deferredEvents.clear();
    m_tokenInExchange = true;
    m_hasOffsets = true;
    m_trailerForwarded = false;
    ++m_context.nextToken.value;
    ++forward.tokens;
    forward.bytes += event.bytes;
    return EventDisposition::Forward;
}

// A resumed exchange may repeat events without a token that precede its first token. They are buffered until it is known whether the
// caller already has them.
Attempt::Machine::EventDisposition Attempt::Machine::classifyWithoutOffset(const StreamEvent &event, ForwardEvents &forward)
{
    if (!isWellFormed(event)) {
        return EventDisposition::Invalid;
    }
    const bool resumed = m_context.nextToken.value > 0 && !m_tokenInExchange;
    if (resumed) {
        m_deferredEvents += event.bytes;
        return EventDisposition::Drop;
    }
    m_trailerForwarded = m_tokenInExchange;
    forward.bytes += event.bytes;
    return EventDisposition::Forward;
}

void Attempt::Machine::forwardPending(ForwardEvents &forward)
{
    if (!m_trailerForwarded) {
        forward.bytes += m_deferredEvents;
    }
    m_deferredEvents.clear();
}

AttemptActions Attempt::Machine::onEnded()
{
    m_context.exchangeOpen = false;
    if (state() == AttemptState::Collecting && m_status != StatusOk) {
        return onEndpointRefusal();
    }
    if (state() == AttemptState::Collecting && isJson(m_context.body)) {
        return process(Completed{});
    }
    return onLost(Reason::IncompleteAnswer, false);
}

AttemptActions Attempt::Machine::onEndpointRefusal()
{
    const EndpointError endpointError = parseEndpointError(m_status, m_context.body);
    if (endpointError.notRun) {
        m_context.notBegun = NotBegunEvidence::StatedByEndpoint;
    }
    if (!isRequestError(m_status)) {
        return onLost(Reason::EndpointRefused, false);
    }
    Refusal refusal;
    refusal.reason = Reason::MalformedRequest;
    refusal.detail = endpointError.message;
    return process(Failed{std::move(refusal)});
}

AttemptActions Attempt::Machine::onFailed(const ExchangeFailure &failure)
{
    m_context.exchangeOpen = false;
    if (!failure.mayHaveReached && !m_sent) {
        m_context.notBegun = NotBegunEvidence::NothingSent;
    }
    return onLost(failure.reason, failure.reusedConnection);
}

bool Attempt::Machine::mayDispatchAgain() const
{
    const bool resumable = !m_context.forwarded || m_hasOffsets;
    return m_exchanges < m_options.exchangeLimit && resumable && (m_options.repeatable || !m_context.mayHaveBegun());
}

AttemptActions Attempt::Machine::onLost(Reason reason, bool connectionOnly)
{
    if (!mayDispatchAgain()) {
        Refusal refusal;
        refusal.reason = reason;
        return process(Failed{std::move(refusal)});
    }
    const SeekEndpoint seek{reason, m_context.endpoint, connectionOnly};
    if (m_context.forwarded) {
        return process(LostDuringStream{seek});
    }
    return process(LostBeforeOutput{seek});
}

Attempt::Attempt(AttemptOptions options)
    : m_machine(std::make_unique<Machine>(options))
{
}

Attempt::~Attempt() = default;

AttemptActions Attempt::admit()
{
    return m_machine->process(Admitted{});
}

AttemptActions Attempt::dispatch(const EndpointId &endpoint, ExchangeId exchange)
{
    return m_machine->dispatch(endpoint, exchange);
}

AttemptActions Attempt::onSending(ExchangeId exchange)
{
    if (m_machine->isCurrent(exchange)) {
        m_machine->onSending();
    }
    return {};
}

AttemptActions Attempt::onHead(ExchangeId exchange, unsigned status, std::string_view contentType)
{
    return m_machine->isCurrent(exchange) ? m_machine->onHead(status, contentType) : AttemptActions{};
}

AttemptActions Attempt::onBody(ExchangeId exchange, std::string_view bytes)
{
    return m_machine->isCurrent(exchange) ? m_machine->onBody(bytes) : AttemptActions{};
}

AttemptActions Attempt::onEnded(ExchangeId exchange)
{
    return m_machine->isCurrent(exchange) ? m_machine->onEnded() : AttemptActions{};
}

AttemptActions Attempt::onFailed(ExchangeId exchange, const ExchangeFailure &failure)
{
    return m_machine->isCurrent(exchange) ? m_machine->onFailed(failure) : AttemptActions{};
}

AttemptActions Attempt::onCallerGone()
{
    return m_machine->process(CallerDisconnected{});
}

AttemptActions Attempt::giveUp(Reason reason, std::optional<std::chrono::seconds> retryAfter, std::string detail)
{
    Refusal refusal;
    refusal.reason = reason;
    refusal.detail = std::move(detail);
    refusal.retryAfter = retryAfter;
    return m_machine->process(Failed{std::move(refusal)});
}

AttemptState Attempt::state() const
{
    return m_machine->state();
}

bool Attempt::finished() const
{
    return state() >= AttemptState::Finished;
}

Ran Attempt::ran() const
{
    return m_machine->context().ran();
}

TokenCount Attempt::delivered() const
{
    return m_machine->context().nextToken;
}

Bytes Attempt::collected() const
{
    return Bytes{m_machine->context().body.size()};
}

ExchangeId Attempt::exchange() const
{
    return m_machine->context().exchange;
}

const EndpointId &Attempt::endpoint() const
{
    return m_machine->context().endpoint;
}

} // namespace Hemlockhill
