// How fast prompts are given to runners. A pure core: time is passed in.
//
// Answers the load pattern of prompts that arrive together: a runner reads them in pieces between the tokens of the requests that it
// runs already, so several long prompts at once make every stream of that runner pause. Spread over a little time they do not.
#pragma once

#include "hemlockhill/world.h"

#include <map>

namespace Hemlockhill
{

struct PromptPace {
    // Prompt tokens a second that a runner reads without holding up its streams.
    double tokensPerSecond = 16'000;
    // Prompt tokens that it may be given at once.
    double burst = 3'200;
    // The pace of one runner follows what its streams bear, between these parts of the pace above.
    double slowest = 0.4;
    double fastest = 1.25;
    // A pause of this part of the longest that is on time slows the runner's pace down to this part of itself.
    double longGapPart = 0.8;
    double slowdown = 0.85;
    // Events arrive in crowds, so the pace is slowed down once in this time.
    Duration slowdownPeriod = std::chrono::milliseconds(300);
    // What the pace gains in a second without long pauses.
    double recovery = 0.12;
};

// A token bucket for each runner, filled by time and drawn from by every prompt that any node sends there. A prompt that is larger than
// the bucket leaves a debt behind.
class PromptPacer
{
public:
    explicit PromptPacer(PromptPace pace);

    // How long a prompt of that size should wait before it goes to that endpoint; zero when it can go now.
    Duration delay(const EndpointId &endpoint, TokenCount prompt, TimePoint now) const;
    void onDispatched(const EndpointId &endpoint, TokenCount prompt, TimePoint now);
    // Two events of a stream from that endpoint were this far apart; the target is the longest gap that is on time.
    void onEventGap(const EndpointId &endpoint, Duration gap, Duration target, TimePoint now);
    // The present pace of that endpoint, as a part of the common one.
    double pacePart(const EndpointId &endpoint, TimePoint now) const;

private:
    struct Bucket {
        double level = 0;
        TimePoint at;
        // The part of the pace at the last slowdown, and when that was.
        double part = 1;
        TimePoint slowedAt;
    };

    Bucket &bucketOf(const EndpointId &endpoint, TimePoint now);
    double levelOf(const EndpointId &endpoint, TimePoint now) const;

    PromptPace m_pace;
    std::map<EndpointId, Bucket> m_buckets;
};

} // namespace Hemlockhill
