// Rate limit for the prompts sent to runners. Deterministic, without I/O: the caller passes in the current time.
//
// A runner processes prompts in chunks between the tokens of its running requests, so that several long prompts at the same time stall
// all its streams. Spreading them over a short time avoids this.
#pragma once

#include "hemlockhill/world.h"

#include <map>

namespace Hemlockhill
{

// Size and fill rate of a token bucket.
struct PromptRateLimit {
    // Prompt tokens per second that a runner can process without stalling its streams.
    double tokensPerSecond = 16'000;
    // Prompt tokens that may be sent to a runner at once.
    double burst = 3'200;
};

// One token bucket for each runner, shared by the prompts of all nodes. A prompt larger than the bucket may be sent when the bucket is
// full, and leaves its level negative.
class PromptRateLimiter
{
public:
    explicit PromptRateLimiter(PromptRateLimit limit);

    // Returns the delay after which a prompt of this size may be sent to the endpoint. Zero when it may be sent now.
    Duration delay(const EndpointId &endpoint, TokenCount prompt, TimePoint now) const;
    void onDispatched(const EndpointId &endpoint, TokenCount prompt, TimePoint now);
    // Returns the prompt tokens that may be sent to the endpoint at once; negative while it has more to process than the limit allows.
    double level(const EndpointId &endpoint, TimePoint now) const;
    // Takes the level that a node has told which hears of all prompts.
    void setLevel(const EndpointId &endpoint, double level, TimePoint now);

private:
    struct Bucket {
        double level = 0;
        TimePoint at;
    };

    PromptRateLimit m_limit;
    std::map<EndpointId, Bucket> m_buckets;
};

} // namespace Hemlockhill
