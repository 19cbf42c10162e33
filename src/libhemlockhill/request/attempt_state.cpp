// Names of the states of an attempt, for logs.
#include "hemlockhill/attempt.h"

namespace Hemlockhill
{

std::string_view toText(AttemptState state)
{
    switch (state) {
    case AttemptState::Arrived:
        return "arrived";
    case AttemptState::Queued:
        return "queued";
    case AttemptState::Dispatched:
        return "dispatched";
    case AttemptState::Collecting:
        return "collecting";
    case AttemptState::Streaming:
        return "streaming";
    case AttemptState::Interrupted:
        return "interrupted";
    case AttemptState::Resumed:
        return "resumed";
    case AttemptState::Finished:
        return "finished";
    case AttemptState::Refused:
        return "refused";
    case AttemptState::Abandoned:
        break;
    }
    return "abandoned";
}

} // namespace Hemlockhill
