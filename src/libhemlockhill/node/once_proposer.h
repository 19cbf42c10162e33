// Batches the steps that a node proposes to the register of idempotency keys.
#pragma once

#include "hemlockhill/event_loop_thread.h"
#include "hemlockhill/once_register.h"

#include <functional>
#include <variant>
#include <vector>

namespace Hemlockhill
{

using StepReply = std::function<void(std::variant<StepOutcome, Refusal>)>;

// Combines all steps proposed during one iteration of the event loop into one command, up to a maximum batch size. Not thread-safe:
// must be used on the given loop.
class OnceProposer
{
public:
    OnceProposer(boost::asio::io_context &loop, OncePort port);
    OnceProposer(const OnceProposer &) = delete;
    OnceProposer &operator=(const OnceProposer &) = delete;

    void propose(OnceStep step, StepReply reply);

private:
    void flush();

    boost::asio::io_context &m_loop;
    OncePort m_port;
    std::vector<OnceStep> m_steps;
    std::vector<StepReply> m_replies;
};

} // namespace Hemlockhill
