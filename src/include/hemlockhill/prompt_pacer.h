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

private:
    struct Bucket {
        double level = 0;
        TimePoint at;
    };

    double levelOf(const EndpointId &endpoint, TimePoint now) const;

    PromptPace m_pace;
    std::map<EndpointId, Bucket> m_buckets;
};

} // namespace Hemlockhill
