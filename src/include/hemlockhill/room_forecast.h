// When there will be room for requests that find none. Deterministic, without I/O.
#pragma once

#include "hemlockhill/declared_capacity.h"
#include "hemlockhill/load_queries.h"
#include "hemlockhill/world.h"

#include <cstddef>
#include <map>
#include <optional>

namespace Hemlockhill
{

struct SlotTimeLimits {
    // Weight of one request in the moving average.
    double weight = 0.05;
    // Number of requests from which on the average is used.
    std::uint32_t samples = 8;
    // From this number of subjects on, further ones are not recorded: callers name models.
    std::size_t subjects = 1'000;
};

// For how long requests hold a slot of their endpoint, by what this node has seen.
class SlotTimes
{
public:
    explicit SlotTimes(SlotTimeLimits limits);

    // A request was answered completely.
    void onServed(const LoadSubject &subject, Duration held);
    // Returns the mean time; zero if it is not known.
    Duration meanTime(const LoadSubject &subject) const;
    // Returns the rate at which the given number of slots become free when all are taken; 0 if it is not known.
    RequestRate releaseRate(const LoadSubject &subject, double slots) const;

private:
    struct Mean {
        double seconds = 0;
        std::uint32_t samples = 0;
    };

    SlotTimeLimits m_limits;
    std::map<LoadSubject, Mean> m_means;
};

// How much faster than on average slots may become free in the forecast for a request that is refused at once: it must be certain that the
// request would have waited in vain.
inline constexpr double CertainRateFactor = 2;

// Returns when a refused caller is to return, in at most a third of its time left: callers honour no more than that. `roomIn` is when there
// will be room, `fraction` a random number in [0, 1) that spreads callers over half of that time again.
Duration returnDelay(Duration roomIn, Duration timeLeft, double fraction);

} // namespace Hemlockhill
