// Batching of steps for the register of idempotency keys.
#include "once_proposer.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

// Maximum number of steps in one command.
constexpr std::size_t MaximumBatchSteps = 256;

WallTime wallTime()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

// Passes each step's outcome, or the refusal of the entire command, to its callback.
void deliverOutcomes(const std::vector<StepReply> &replies, const std::variant<OnceOutcome, Refusal> &result)
{
    const auto *outcome = std::get_if<OnceOutcome>(&result);
    for (std::size_t index = 0; index < replies.size(); ++index) {
        if (outcome != nullptr && index < outcome->steps.size()) {
            replies[index](outcome->steps[index]);
        } else if (outcome != nullptr) {
            replies[index](Refusal{Reason::Internal, Ran::Unknown, "the register returned fewer outcomes than steps", {}, {}});
        } else {
            replies[index](std::get<Refusal>(result));
        }
    }
}

} // namespace

OnceProposer::OnceProposer(boost::asio::io_context &loop, OncePort port)
    : m_loop(loop)
    , m_port(std::move(port))
{
}

void OnceProposer::propose(OnceStep step, StepReply reply)
{
    m_steps.push_back(std::move(step));
    m_replies.push_back(std::move(reply));
    if (m_steps.size() == 1) {
        boost::asio::post(m_loop, [this] { flush(); });
    } else if (m_steps.size() == MaximumBatchSteps) {
        flush();
    }
}

void OnceProposer::flush()
{
    if (m_steps.empty()) {
        return;
    }
    OnceCommand command{wallTime(), std::exchange(m_steps, {})};
    m_port(std::move(command), [replies = std::exchange(m_replies, {})](const std::variant<OnceOutcome, Refusal> &result) {
        deliverOutcomes(replies, result);
    });
}

} // namespace Hemlockhill
