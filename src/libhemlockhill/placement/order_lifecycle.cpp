// State machine of an order's life cycle.
#include "hemlockhill/order.h"

#include <boost/mpl/vector.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <array>

namespace Hemlockhill
{

namespace
{

namespace msm = boost::msm;
using msm::front::none;

struct Commit {
};
struct Send {
};
struct Accept {
};
struct Refuse {
};
struct Observe {
};
struct Expire {
};
struct Withdraw {
};

struct LifecycleFront : msm::front::state_machine_def<LifecycleFront> {
    struct Planned : msm::front::state<> {
    };
    struct Committed : msm::front::state<> {
    };
    struct Sent : msm::front::state<> {
    };
    struct Acknowledged : msm::front::state<> {
    };
    struct Observed : msm::front::state<> {
    };
    struct Failed : msm::front::state<> {
    };
    struct Abandoned : msm::front::state<> {
    };
    using initial_state = Planned;

    template<typename Source, typename Event, typename Target>
    using Row = msm::front::Row<Source, Event, Target, none, none>;

    // A failed order may still be observed: an order that was refused once may have been accepted when it was sent earlier.
    using transition_table = boost::mpl::vector<Row<Planned, Commit, Committed>,
                                                Row<Planned, Withdraw, Abandoned>,
                                                Row<Committed, Send, Sent>,
                                                Row<Committed, Withdraw, Abandoned>,
                                                Row<Sent, Send, Sent>,
                                                Row<Sent, Accept, Acknowledged>,
                                                Row<Sent, Refuse, Failed>,
                                                Row<Sent, Observe, Observed>,
                                                Row<Sent, Expire, Abandoned>,
                                                Row<Acknowledged, Observe, Observed>,
                                                Row<Acknowledged, Expire, Abandoned>,
                                                Row<Failed, Observe, Observed>>;

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &machine, int)
    {
        machine.refused = true;
    }

    bool refused = false;
};

// In the order of Boost.MSM's state numbers: states are numbered by their first appearance as a source, then as a target.
constexpr std::array Phases{OrderPhase::Planned,
                            OrderPhase::Committed,
                            OrderPhase::Sent,
                            OrderPhase::Acknowledged,
                            OrderPhase::Failed,
                            OrderPhase::Abandoned,
                            OrderPhase::Observed};

} // namespace

class OrderLifecycle::Machine : public msm::back::state_machine<LifecycleFront>
{
};

OrderLifecycle::OrderLifecycle()
    : m_machine(std::make_unique<Machine>())
{
    m_machine->start();
}

OrderLifecycle::~OrderLifecycle() = default;
OrderLifecycle::OrderLifecycle(OrderLifecycle &&) noexcept = default;
OrderLifecycle &OrderLifecycle::operator=(OrderLifecycle &&) noexcept = default;

OrderPhase OrderLifecycle::phase() const
{
    return Phases.at(static_cast<std::size_t>(*m_machine->current_state()));
}

bool OrderLifecycle::handle(OrderEvent event)
{
    m_machine->refused = false;
    switch (event) {
    case OrderEvent::Commit:
        m_machine->process_event(Commit{});
        break;
    case OrderEvent::Send:
        m_machine->process_event(Send{});
        break;
    case OrderEvent::Accept:
        m_machine->process_event(Accept{});
        break;
    case OrderEvent::Refuse:
        m_machine->process_event(Refuse{});
        break;
    case OrderEvent::Observe:
        m_machine->process_event(Observe{});
        break;
    case OrderEvent::Expire:
        m_machine->process_event(Expire{});
        break;
    case OrderEvent::Withdraw:
        m_machine->process_event(Withdraw{});
        break;
    }
    return !m_machine->refused;
}

std::string_view toText(OrderPhase phase)
{
    constexpr std::array<std::string_view, 7> Names{"planned", "committed", "sent", "acknowledged", "observed", "failed", "abandoned"};
    return Names.at(static_cast<std::size_t>(phase));
}

std::string_view toText(OrderAction action)
{
    return action == OrderAction::Load ? "load" : "evict";
}

std::string toText(const MemoryItem &item)
{
    const std::string model = item.model.value;
    return item.adapter.empty() ? model + " " + item.version.value : item.adapter.value + " of " + model + " " + item.version.value;
}

} // namespace Hemlockhill
