// Tests that a response whose status is none of HTTP's fails its exchange.
#include "hemlockhill/http_exchange.h"

#include "hemlockhill/timer_service.h"
#include "net/raw_endpoint_testing.h"

#include <boost/test/unit_test.hpp>

#include <optional>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

const Address ServerAddress{"127.0.0.1", 9'377};
constexpr Duration Patience = std::chrono::seconds(2);

struct Outcome {
    std::optional<unsigned> status;
    std::optional<ExchangeFailure> failure;
};

Outcome exchangeWith(const std::string &status, const std::string &method)
{
    boost::asio::io_context loop{1};
    RawEndpoint endpoint(loop, ServerAddress, [&](const RawEndpoint::Request &) {
        return RawAnswer{"HTTP/1.1 " + status + " Status\r\nContent-Length: 2\r\n\r\nok", ConnectionEnd::KeepOpen, {}};
    });
    ConnectionPool pool(loop, 1);
    Outcome outcome;
    bool ended = false;
    ExchangeHooks hooks;
    hooks.onHead = [&](const ResponseHead &head) { outcome.status = head.status; };
    hooks.onEnd = [&] { ended = true; };
    hooks.onFailed = [&](const ExchangeFailure &failure) { outcome.failure = failure; };
    HttpRequest request;
    request.method = method;
    request.target = "/";
    const auto exchange = pool.start(ServerAddress, request, ExchangeLimits{}, ConnectionChoice::FreshOnly, hooks);
    const TimePoint start = currentTime();
    while (!ended && !outcome.failure && currentTime() - start < Patience) {
        loop.run_one_for(std::chrono::milliseconds(20));
    }
    return outcome;
}

} // namespace

// Guards against callers receiving a status that their HTTP library does not know.
BOOST_AUTO_TEST_CASE(status_outside_http_is_no_response)
{
    for (const char *method : {"GET", "POST"}) {
        for (const char *status : {"000", "099", "600", "999"}) {
            const Outcome outcome = exchangeWith(status, method);
            BOOST_TEST_CONTEXT(method << " " << status)
            {
                BOOST_CHECK(!outcome.status);
                BOOST_REQUIRE(outcome.failure);
                BOOST_CHECK(outcome.failure->reason == Reason::IncompleteAnswer);
                BOOST_CHECK(outcome.failure->mayHaveReached);
            }
        }
    }
}

// Guards against responses with unusual statuses being dropped.
BOOST_AUTO_TEST_CASE(status_within_http_is_a_response)
{
    for (const char *status : {"200", "299", "599"}) {
        BOOST_CHECK_EQUAL(std::to_string(exchangeWith(status, "GET").status.value_or(0)), status);
    }
}
