// Tests responses that belong to no request, or to another one than the exchange that reads them.
#include "hemlockhill/http_exchange.h"

#include "hemlockhill/timer_service.h"
#include "net/carried_requests.h"
#include "net/raw_endpoint_testing.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

const Address Server{"127.0.0.1", 9'492};
const std::string Own = "HTTP/1.1 200 OK\r\nId: own\r\nContent-Length: 3\r\n\r\nown";
const std::string Stray = "HTTP/1.1 503 Busy\r\nId: other\r\nContent-Length: 5\r\n\r\nstray";
const std::string Unframed = "HTTP/1.1 503 Busy\r\nId: other\r\n\r\n";

struct Outcome {
    std::vector<ResponseHead> heads;
    std::string body;
    std::optional<ExchangeFailure> failure;
    bool ended = false;
};

// One client before an endpoint that answers each request with the next of the given answers.
class Fixture
{
public:
    explicit Fixture(std::vector<RawAnswer> answers)
        : m_endpoint(m_loop,
                     Server,
                     [answers = std::move(answers), next = std::size_t{0}](const RawEndpoint::Request &) mutable {
                         return answers.at(std::min(next++, answers.size() - 1));
                     })
        , m_pool(m_loop, 2)
    {
    }

    Outcome exchange(const std::string &id = {})
    {
        Outcome outcome;
        ExchangeHooks hooks;
        hooks.match = [](const ResponseHead &head) {
            return findHeader(head.headers, "Id") == "own" ? ResponseMatch::Own : ResponseMatch::Stray;
        };
        hooks.id = RequestId{id};
        hooks.onHead = [&outcome](const ResponseHead &head) { outcome.heads.push_back(head); };
        hooks.onBody = [&outcome](const std::string &bytes) { outcome.body += bytes; };
        hooks.onEnd = [&outcome] { outcome.ended = true; };
        hooks.onFailed = [&outcome](const ExchangeFailure &failure) { outcome.failure = failure; };
        ExchangeLimits limits;
        limits.firstByte = std::chrono::milliseconds(400);
        limits.reusedFirstByte = limits.firstByte;
        m_pool.start(Server, {"GET", "/", {}, {}}, limits, ConnectionChoice::PreferIdle, hooks);
        while (!outcome.ended && !outcome.failure) {
            m_loop.run_one();
        }
        return outcome;
    }

    // Runs the loop without handlers of the pool until the endpoint has written its bytes.
    void runFor(Duration duration) { m_loop.run_for(duration); }
    std::size_t idleConnections() const { return m_pool.idleConnections(Server); }

private:
    boost::asio::io_context m_loop{1};
    RawEndpoint m_endpoint;
    ConnectionPool m_pool;
};

} // namespace

// Guards against taking the answer to another request for the awaited one, and against losing the one that follows it.
BOOST_AUTO_TEST_CASE(stray_before_the_awaited_response_is_taken_for_it)
{
    Fixture fixture({{Stray + Stray + Own, ConnectionEnd::KeepOpen, {}}});
    const Outcome outcome = fixture.exchange();
    BOOST_REQUIRE(outcome.ended);
    BOOST_REQUIRE_EQUAL(outcome.heads.size(), 1);
    BOOST_CHECK_EQUAL(outcome.heads[0].status, 200);
    BOOST_CHECK_EQUAL(outcome.heads[0].position.earlierResponses, 2);
    BOOST_CHECK_EQUAL(outcome.body, "own");
    BOOST_CHECK_EQUAL(fixture.idleConnections(), 0);
}

BOOST_AUTO_TEST_CASE(strays_without_the_awaited_response_fail_the_exchange)
{
    const std::string oversized = "HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n" + std::string(70'000, 'x');
    const std::string five = Stray + Stray + Stray + Stray + Stray;
    for (const std::string &bytes : {Stray, five + Own, oversized + Own, Unframed + Own}) {
        Fixture fixture({{bytes, ConnectionEnd::KeepOpen, {}}});
        const Outcome outcome = fixture.exchange();
        BOOST_REQUIRE(outcome.failure);
        BOOST_CHECK(outcome.failure->mayHaveReached);
        BOOST_CHECK_GE(outcome.failure->strays, 1);
        BOOST_CHECK(outcome.heads.empty());
        BOOST_CHECK(outcome.body.empty());
    }
}

// Guards against reading a stray for as long as it comes.
BOOST_AUTO_TEST_CASE(stray_without_end_holds_the_exchange)
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string &tail : {std::string("1\r\nx\r\n"), "4000\r\n" + std::string(0x4000, 'x') + "\r\n"}) {
        Fixture fixture({{chunked, ConnectionEnd::RepeatTail, tail}});
        const TimePoint start = currentTime();
        const Outcome outcome = fixture.exchange();
        BOOST_REQUIRE(outcome.failure);
        BOOST_CHECK_LT(currentTime() - start, std::chrono::seconds(2));
        BOOST_CHECK_EQUAL(outcome.failure->strays, 1);
    }
}

BOOST_AUTO_TEST_CASE(connection_that_carried_no_stray_is_reused)
{
    Fixture fixture({{Own, ConnectionEnd::KeepOpen, {}}});
    BOOST_CHECK(fixture.exchange().ended);
    BOOST_CHECK_EQUAL(fixture.idleConnections(), 1);
    const Outcome second = fixture.exchange();
    BOOST_REQUIRE_EQUAL(second.heads.size(), 1);
    BOOST_CHECK_EQUAL(second.heads[0].position.earlierResponses, 1);
}

// Guards against a late copy of an earlier answer that cannot be told from the answer to the same request.
BOOST_AUTO_TEST_CASE(connection_carries_the_same_request_twice)
{
    Fixture fixture({{Own, ConnectionEnd::KeepOpen, {}}});
    BOOST_CHECK(fixture.exchange("request-1").ended);
    const Outcome again = fixture.exchange("request-1");
    BOOST_REQUIRE_EQUAL(again.heads.size(), 1);
    BOOST_CHECK_EQUAL(again.heads[0].position.earlierResponses, 0);
    BOOST_CHECK(!again.heads[0].position.hasCarriedRequest);
    BOOST_CHECK_EQUAL(fixture.idleConnections(), 2);
    const Outcome other = fixture.exchange("request-2");
    BOOST_REQUIRE_EQUAL(other.heads.size(), 1);
    BOOST_CHECK_EQUAL(other.heads[0].position.earlierResponses, 1);
}

// Guards against a connection whose memory of the requests that it has carried grows without end.
BOOST_AUTO_TEST_CASE(connection_carries_requests_without_limit)
{
    Fixture fixture({{Own, ConnectionEnd::KeepOpen, {}}});
    for (std::size_t request = 0; request < CarriedRequestLimit; ++request) {
        const Outcome outcome = fixture.exchange("request-" + std::to_string(request));
        BOOST_REQUIRE_EQUAL(outcome.heads.size(), 1);
        BOOST_CHECK_EQUAL(outcome.heads[0].position.earlierResponses, request);
    }
    BOOST_CHECK_EQUAL(fixture.idleConnections(), 0);
}

// Guards against sending a request over a connection on which a response to no request has arrived.
BOOST_AUTO_TEST_CASE(request_is_sent_over_a_connection_with_unread_bytes)
{
    Fixture fixture({{Own + Stray, ConnectionEnd::KeepOpen, {}}, {Own, ConnectionEnd::KeepOpen, {}}});
    BOOST_CHECK(fixture.exchange().ended);
    const Outcome second = fixture.exchange();
    BOOST_REQUIRE_EQUAL(second.heads.size(), 1);
    BOOST_CHECK_EQUAL(second.heads[0].position.earlierResponses, 0);
    BOOST_CHECK(!second.heads[0].position.precedesRequest);
}
