// Reports the progress of exchanges with endpoints to the endpoints' reachability.
#include "direct_exchange.h"

#include "hemlockhill/timer_service.h"

#include <utility>

namespace Hemlockhill
{

namespace
{

// Counts one exchange as in flight until it ends or is given up.
class InFlight
{
public:
    InFlight(std::shared_ptr<EndpointReachability> reachability, EndpointId endpoint)
        : m_reachability(std::move(reachability))
        , m_endpoint(std::move(endpoint))
    {
        m_reachability->onSent(m_endpoint, currentTime());
    }

    ~InFlight() { end(); }
    InFlight(const InFlight &) = delete;
    InFlight &operator=(const InFlight &) = delete;

    void onHeard()
    {
        m_heard = true;
        m_reachability->onHeard(m_endpoint, currentTime());
    }

    void onFailed(const ExchangeFailure &failure)
    {
        end();
        // What is between the two may accept a connection and reset it at once.
        const bool wasReset = failure.reason == Reason::EndpointLost && !failure.reusedConnection && !m_heard;
        if (!failure.mayHaveReached) {
            m_reachability->onConnectFailed(m_endpoint, currentTime());
        } else if (wasReset) {
            m_reachability->onReset(m_endpoint, currentTime());
        }
    }

    void end()
    {
        if (!std::exchange(m_ended, true)) {
            m_reachability->onEnded(m_endpoint, currentTime());
        }
    }

private:
    // Shared, as the event loop may keep an exchange for longer than its gateway exists.
    std::shared_ptr<EndpointReachability> m_reachability;
    EndpointId m_endpoint;
    bool m_heard = false;
    bool m_ended = false;
};

class DirectExchange : public HttpExchange
{
public:
    DirectExchange(std::shared_ptr<InFlight> inFlight, std::shared_ptr<HttpExchange> exchange)
        : m_inFlight(std::move(inFlight))
        , m_exchange(std::move(exchange))
    {
    }

    void cancel() override
    {
        m_inFlight->end();
        m_exchange->cancel();
    }

    void discard() override
    {
        m_inFlight->end();
        m_exchange->discard();
    }

    std::optional<TimePoint> connectedAt() const override { return m_exchange->connectedAt(); }
    void pause() override { m_exchange->pause(); }
    void resume() override { m_exchange->resume(); }

private:
    std::shared_ptr<InFlight> m_inFlight;
    std::shared_ptr<HttpExchange> m_exchange;
};

ExchangeHooks observe(ExchangeHooks hooks, const std::shared_ptr<InFlight> &inFlight)
{
    ExchangeHooks observed;
    observed.onSending = std::move(hooks.onSending);
    // An answer to another request shows that the endpoint is reachable, too.
    observed.match = [inFlight, match = std::move(hooks.match)](const ResponseHead &head) {
        inFlight->onHeard();
        return match ? match(head) : ResponseMatch::Own;
    };
    observed.id = std::move(hooks.id);
    observed.onHead = [inFlight, onHead = std::move(hooks.onHead)](const ResponseHead &head) {
        inFlight->onHeard();
        if (onHead) {
            onHead(head);
        }
    };
    observed.onBody = [inFlight, onBody = std::move(hooks.onBody)](std::string bytes) {
        inFlight->onHeard();
        if (onBody) {
            onBody(std::move(bytes));
        }
    };
    observed.onEnd = [inFlight, onEnd = std::move(hooks.onEnd)] {
        inFlight->end();
        if (onEnd) {
            onEnd();
        }
    };
    observed.onFailed = [inFlight, onFailed = std::move(hooks.onFailed)](const ExchangeFailure &failure) {
        inFlight->onFailed(failure);
        if (onFailed) {
            onFailed(failure);
        }
    };
    return observed;
}

} // namespace

std::shared_ptr<HttpExchange> startDirectExchange(ConnectionPool &pool,
                                                  std::shared_ptr<EndpointReachability> reachability,
                                                  const EndpointId &endpoint,
                                                  const Address &address,
                                                  const HttpRequest &request,
                                                  const ExchangeLimits &limits,
                                                  ConnectionChoice connection,
                                                  ExchangeHooks hooks)
{
    const auto inFlight = std::make_shared<InFlight>(std::move(reachability), endpoint);
    auto exchange = pool.start(address, request, limits, connection, observe(std::move(hooks), inFlight));
    return std::make_shared<DirectExchange>(inFlight, std::move(exchange));
}

} // namespace Hemlockhill
