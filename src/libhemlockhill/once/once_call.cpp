// The state machine of one at-most-once call.
#include "hemlockhill/once_call.h"

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

constexpr std::chrono::seconds RetryAfterNotSent(1);

// The data that guards and actions of the state machine use.
struct Context {
    ClaimKey claim;
    OnceCallOptions options;
    TimePoint now;
    TimePoint sendBefore;
    std::uint32_t dispatches = 0;
    std::uint32_t proposals = 0;
    bool responded = false;
    std::optional<StoredAnswer> answer;
    std::optional<OnceStep> resolution;
    std::vector<OnceCallAction> actions;

    void respond(OnceCallAction action)
    {
        if (!std::exchange(responded, true)) {
            actions.push_back(std::move(action));
        }
    }

    void refuse(Refusal refusal) { respond(RefuseCall{std::move(refusal)}); }

    void propose(Duration delay)
    {
        ++proposals;
        actions.emplace_back(ProposeResolution{*resolution, delay});
    }

    void resolve(OnceStep step)
    {
        resolution = std::move(step);
        propose(Duration(0));
    }

    void release() { resolve(ReleaseClaim{registerKey(claim), claim.claim}); }

    void dispatch()
    {
        ++dispatches;
        actions.emplace_back(DispatchCall{sendBefore});
    }

    void answerCaller()
    {
        if (answer) {
            respond(AnswerCaller{std::move(*answer), false});
        }
    }
};

struct Claiming : msm::front::state<> {
};
// The claim is committed and the call is handed to an endpoint.
struct Dispatched : msm::front::state<> {
};
// The call was answered, lost or not sent. The outcome or release of the claim is being committed.
struct Resolving : msm::front::state<> {
};
struct Closed : msm::front::state<> {
};

// Guards.

struct IsGranted {
    template<typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event &event, Machine &machine, Source &, Target &) const
    {
        return event.outcome.verdict == OnceVerdict::Granted && machine.context.now < machine.context.sendBefore;
    }
};

struct IsGrantedLate {
    template<typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event &event, Machine &machine, Source &, Target &) const
    {
        return event.outcome.verdict == OnceVerdict::Granted && machine.context.now >= machine.context.sendBefore;
    }
};

struct IsNotGranted {
    template<typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event &event, Machine &, Source &, Target &) const
    {
        return event.outcome.verdict != OnceVerdict::Granted;
    }
};

struct MayHaveRun {
    template<typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event &event, Machine &, Source &, Target &) const
    {
        return event.mayHaveReached;
    }
};

struct MayRetryDispatch {
    template<typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event &event, Machine &machine, Source &, Target &) const
    {
        const Context &context = machine.context;
        const bool dispatchAllowed = event.reason != Reason::NoEndpoint && context.dispatches < context.options.dispatchLimit;
        return !event.mayHaveReached && dispatchAllowed && context.now < context.sendBefore;
    }
};

struct MayNotRetryDispatch {
    template<typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event &event, Machine &machine, Source &source, Target &target) const
    {
        return !event.mayHaveReached && !MayRetryDispatch{}(event, machine, source, target);
    }
};

struct MayRetryProposal {
    template<typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event &event, Machine &machine, Source &, Target &) const
    {
        return !event.committed && machine.context.proposals < machine.context.options.proposalLimit;
    }
};

struct IsResolved {
    template<typename Event, typename Machine, typename Source, typename Target>
    bool operator()(const Event &event, Machine &machine, Source &source, Target &target) const
    {
        return !MayRetryProposal{}(event, machine, source, target);
    }
};

// Actions.

struct Dispatch {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.context.dispatch();
    }
};

// Passes the result of the earlier call with the key to the caller.
struct ReturnEarlierResult {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &event, Machine &machine, Source &, Target &) const
    {
        if (event.outcome.answer) {
            machine.context.respond(AnswerCaller{*event.outcome.answer, true});
        } else {
            machine.context.refuse(refusalOf(event.outcome.verdict));
        }
        machine.context.actions.emplace_back(CallClosed{});
    }
};

// The dispatch window has passed. No other attempt can run the call while this claim holds the key, so the refusal may state that the
// call did not run.
struct RefuseLate {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.context.refuse(refusalOf(OnceVerdict::ClaimTooLate));
        machine.context.release();
    }
};

struct RefuseUnsent {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &event, Machine &machine, Source &, Target &) const
    {
        Refusal refusal;
        refusal.reason = event.reason;
        refusal.ran = Ran::No;
        refusal.detail = "no endpoint could be reached; nothing was sent";
        refusal.retryAfter = RetryAfterNotSent;
        machine.context.refuse(std::move(refusal));
        machine.context.release();
    }
};

// An earlier call with this key may have run, and this claim may still be committed. Without the register's reply the refusal must not
// state that the call did not run.
struct RefuseUnclaimed {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &event, Machine &machine, Source &, Target &) const
    {
        Refusal refusal = event.refusal;
        refusal.ran = Ran::Unknown;
        refusal.detail = "the idempotency register could not be reached; retrying with the same key is safe";
        refusal.retryAfter = RetryAfterNotSent;
        machine.context.refuse(std::move(refusal));
        machine.context.release();
    }
};

struct RecordAnswer {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &event, Machine &machine, Source &, Target &) const
    {
        Context &context = machine.context;
        context.answer = event.answer;
        context.resolve(RecordOutcome{registerKey(context.claim), context.claim.claim, event.answer});
        context.actions.emplace_back(StartOutcomeTimer{context.options.outcomeTimeout});
    }
};

struct RecordUnknown {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &event, Machine &machine, Source &, Target &) const
    {
        Context &context = machine.context;
        Refusal refusal;
        refusal.reason = event.reason;
        refusal.ran = Ran::Unknown;
        refusal.detail = "the endpoint was lost after the call was sent; the call will not be sent again";
        context.refuse(std::move(refusal));
        context.resolve(RecordOutcome{registerKey(context.claim), context.claim.claim, {}});
    }
};

struct RetryProposal {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.context.propose(machine.context.options.proposalRetryDelay);
    }
};

struct AnswerOnTimeout {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.context.answerCaller();
    }
};

struct Close {
    template<typename Event, typename Machine, typename Source, typename Target>
    void operator()(const Event &, Machine &machine, Source &, Target &) const
    {
        machine.context.answerCaller();
        machine.context.actions.emplace_back(CallClosed{});
    }
};

struct FrontEnd : msm::front::state_machine_def<FrontEnd> {
    using initial_state = Claiming;
    using no_exception_thrown = int;

    // clang-format off
    struct transition_table // NOLINT(readability-identifier-naming): the name that Boost.MSM looks for
        : boost::mpl::vector<
              //  source      event              target      action               guard
              Row<Claiming,   ClaimReplied,      Dispatched, Dispatch,            IsGranted>,
              Row<Claiming,   ClaimReplied,      Resolving,  RefuseLate,          IsGrantedLate>,
              Row<Claiming,   ClaimReplied,      Closed,     ReturnEarlierResult, IsNotGranted>,
              Row<Claiming,   ClaimFailed,       Resolving,  RefuseUnclaimed,     none>,
              Row<Dispatched, CallAnswered,      Resolving,  RecordAnswer,        none>,
              Row<Dispatched, CallFailed,        Resolving,  RecordUnknown,       MayHaveRun>,
              Row<Dispatched, CallFailed,        none,       Dispatch,            MayRetryDispatch>,
              Row<Dispatched, CallFailed,        Resolving,  RefuseUnsent,        MayNotRetryDispatch>,
              Row<Resolving,  OutcomeTimedOut,   none,       AnswerOnTimeout,     none>,
              Row<Resolving,  ResolutionReplied, none,       RetryProposal,       MayRetryProposal>,
              Row<Resolving,  ResolutionReplied, Closed,     Close,               IsResolved>
          > {
    };
    // clang-format on

    // Late and duplicate events are ignored.
    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int)
    {
    }

    Context context;
};

using BackEnd = msm::back::state_machine<FrontEnd>;

} // namespace

class OnceCall::LifeCycle : public BackEnd
{
public:
    bool closed = false;
};

OnceCall::OnceCall(ClaimKey claim, OnceCallOptions options)
    : m_lifeCycle(std::make_unique<LifeCycle>())
{
    claim.dispatchWindow = std::chrono::duration_cast<std::chrono::milliseconds>(options.dispatchWindow);
    m_lifeCycle->context.claim = std::move(claim);
    m_lifeCycle->context.options = options;
    m_lifeCycle->start();
}

OnceCall::~OnceCall() = default;
OnceCall::OnceCall(OnceCall &&) noexcept = default;
OnceCall &OnceCall::operator=(OnceCall &&) noexcept = default;

std::vector<OnceCallAction> OnceCall::start(TimePoint now)
{
    Context &context = m_lifeCycle->context;
    context.sendBefore = now + context.options.dispatchWindow;
    return {ProposeClaim{context.claim}};
}

std::vector<OnceCallAction> OnceCall::handle(const OnceCallEvent &event, TimePoint now)
{
    Context &context = m_lifeCycle->context;
    context.now = now;
    if (std::holds_alternative<CallerDisconnected>(event)) {
        context.responded = true;
        return {};
    }
    std::visit([this](const auto &typed) { m_lifeCycle->process_event(typed); }, event);
    std::vector<OnceCallAction> actions = std::exchange(context.actions, {});
    for (const OnceCallAction &action : actions) {
        m_lifeCycle->closed = m_lifeCycle->closed || std::holds_alternative<CallClosed>(action);
    }
    return actions;
}

bool OnceCall::closed() const
{
    return m_lifeCycle->closed;
}

} // namespace Hemlockhill
