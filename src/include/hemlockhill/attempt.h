// Life cycle of one model request, from arrival to its single final response. A deterministic state machine without I/O that takes
// events and returns actions for its host.
#pragma once

#include "hemlockhill/event_stream.h"
#include "hemlockhill/failure.h"
#include "hemlockhill/http_exchange.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Hemlockhill
{

using AttemptId = Quantity<struct AttemptTag>;

enum class AttemptState { Arrived, Queued, Dispatched, Collecting, Streaming, Interrupted, Resumed, Finished, Refused, Abandoned };

std::string_view toText(AttemptState state);

// Properties of a request that determine how it may be run.
struct AttemptOptions {
    // Whether the caller requested a streamed response.
    bool stream = false;
    // False when the request must not run twice. Such a request is not dispatched again once an endpoint may have begun to run it.
    bool repeatable = true;
    // Maximum number of exchanges for one request, including the first.
    std::uint32_t exchangeLimit = 4;
};

// Sends the request to the endpoint. Generation starts at the token with the offset resumeOffset.
struct StartAttemptExchange {
    ExchangeId exchange;
    EndpointId endpoint;
    TokenCount resumeOffset;
};

// Closes the connection of the exchange.
struct CancelAttemptExchange {
    ExchangeId exchange;
};

// The exchange failed and the request may run elsewhere. The host calls dispatch() with another endpoint, or giveUp().
struct SeekEndpoint {
    Reason reason = Reason::EndpointLost;
    EndpointId failed;
    // True when a reused connection failed, which does not indicate a failure of the endpoint.
    bool connectionOnly = false;
};

// Forwards complete events to the caller, in order. The first action of this type also starts the streamed response.
struct ForwardEvents {
    std::string bytes;
    std::uint32_t tokens = 0;
    bool first = false;
};

// The streamed response is complete.
struct EndStream {
};

// Sends a complete response that is not streamed.
struct SendResponse {
    std::string contentType;
    std::string body;
};

// Refuses the request. No part of a response has been sent to the caller.
struct RefuseCaller {
    Refusal refusal;
};

// Ends a streamed response early: the caller receives an error event and no end marker.
struct SendErrorEvent {
    Refusal refusal;
};

using AttemptAction = std::variant<StartAttemptExchange,
                                   CancelAttemptExchange,
                                   SeekEndpoint,
                                   ForwardEvents,
                                   EndStream,
                                   SendResponse,
                                   RefuseCaller,
                                   SendErrorEvent>;
using AttemptActions = std::vector<AttemptAction>;

// State machine of one model request. Events of exchanges other than the current one are ignored, as are all events after the final
// response.
class Attempt
{
public:
    explicit Attempt(AttemptOptions options);
    ~Attempt();
    Attempt(const Attempt &) = delete;
    Attempt &operator=(const Attempt &) = delete;

    AttemptActions admit();
    // Starts an exchange with the endpoint. Has an effect only in the states Queued and Interrupted. The exchange id must not have
    // been used before.
    AttemptActions dispatch(const EndpointId &endpoint, ExchangeId exchange);
    // The first byte of the exchange may have been sent.
    AttemptActions onSending(ExchangeId exchange);
    AttemptActions onHead(ExchangeId exchange, unsigned status, std::string_view contentType);
    AttemptActions onBody(ExchangeId exchange, std::string_view bytes);
    AttemptActions onEnded(ExchangeId exchange);
    AttemptActions onFailed(ExchangeId exchange, const ExchangeFailure &failure);
    AttemptActions onCallerGone();
    // Ends the request immediately, for example at its deadline or when no endpoint remains to be tried.
    AttemptActions giveUp(Reason reason, std::optional<std::chrono::seconds> retryAfter, std::string detail = {});

    AttemptState state() const;
    bool finished() const;
    // Whether the request ran: Unknown from the dispatch on unless every exchange is known not to have begun, Yes once the caller has
    // received tokens.
    Ran ran() const;
    // Number of tokens delivered to the caller.
    TokenCount delivered() const;
    // Bytes held of an answer that is not streamed, or of an error.
    Bytes collected() const;
    // The current exchange, or the last one when none is open.
    ExchangeId exchange() const;
    const EndpointId &endpoint() const;

private:
    class Machine;
    std::unique_ptr<Machine> m_machine;
};

} // namespace Hemlockhill
