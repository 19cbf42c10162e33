// Tests the gateway with endpoints that write responses which no request awaits, or statuses that promise what they have not stated.
#include "net/raw_endpoint_testing.h"
#include "node/gateway_testing.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr std::uint16_t FirstPort = 9'400;
// Enough for each of the two endpoints to get a request on a connection that has carried another.
constexpr int RequestCount = 4;
const std::string UnnamedRefusal = "HTTP/1.1 400 Bad Request\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string OtherRefusal = "HTTP/1.1 503 Busy\r\nId: request-0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
const std::string OtherAnswer = "HTTP/1.1 200 OK\r\nId: request-0\r\nSignature: s\r\nContent-Length: 8\r\n\r\nsomebody";
// Stands for the id of the request that a stray precedes.
const std::string OwnId = "{own}";
const std::string TwoNames = "HTTP/1.1 200 OK\r\nId: {own}\r\nId: request-0\r\nSignature: s\r\nContent-Length: 8\r\n\r\nsomebody";

std::string ownHead(const RawEndpoint::Request &request, const std::string &status)
{
    return "HTTP/1.1 " + status + "\r\nId: " + std::string(request["Id"]) + "\r\n";
}

// The stray as it precedes the answer to the request.
std::string strayBefore(const RawEndpoint::Request &request, std::string stray)
{
    if (const std::size_t at = stray.find(OwnId); at != std::string::npos) {
        stray.replace(at, OwnId.size(), std::string(request["Id"]));
    }
    return stray;
}

std::string ownAnswer(const RawEndpoint::Request &request)
{
    return ownHead(request, "200 OK") + "Signature: s\r\nContent-Length: 6\r\n\r\nserved";
}

GatewayScenario scenario(RouteKind kind)
{
    GatewayScenario scenario;
    scenario.kind = kind;
    scenario.firstPort = FirstPort;
    return scenario;
}

// A gateway before two raw endpoints.
class StrayFixture : public GatewayFixture
{
public:
    // `number` counts the requests to one endpoint, from 1.
    using Answer = std::function<RawAnswer(const RawEndpoint::Request &request, int number)>;

    StrayFixture(RouteKind kind, const Answer &answer)
        : StrayFixture(kind, answer, std::make_shared<State>())
    {
    }

    // Their sockets must not outlive the event loop.
    ~StrayFixture() { m_state->endpoints.clear(); }

    // Sends a request under an id of its own, as callers do. A connection carries each id once.
    std::optional<HttpResponse> exchangeNext()
    {
        extraHeaders = {{"Id", "request-" + std::to_string(++m_requests)}};
        return exchange("/x/1");
    }

    int received() const { return m_state->received; }
    std::size_t acceptedConnections() const
    {
        std::size_t accepted = 0;
        for (const auto &endpoint : m_state->endpoints) {
            accepted += endpoint->acceptedConnections();
        }
        return accepted;
    }

private:
    struct State {
        int received = 0;
        std::vector<std::shared_ptr<RawEndpoint>> endpoints;
    };

    StrayFixture(RouteKind kind, const Answer &answer, const std::shared_ptr<State> &state)
        : GatewayFixture(scenario(kind),
                         [answer, state](boost::asio::io_context &loop, const Address &address) {
                             state->endpoints.push_back(std::make_shared<RawEndpoint>(
                                 loop, address, [answer, state = state.get(), number = 0](const RawEndpoint::Request &request) mutable {
                                     ++state->received;
                                     return answer(request, ++number);
                                 }));
                             return state->endpoints.back();
                         })
        , m_state(state)
    {
    }

    std::shared_ptr<State> m_state;
    int m_requests = 0;
};

// The answer, with the stray before it on connections that have carried a request. Such a connection is closed afterwards, so each second
// request comes on a kept one.
StrayFixture::Answer behindStray(const std::string &stray)
{
    return [stray](const RawEndpoint::Request &request, int number) {
        return RawAnswer{(number % 2 == 0 ? strayBefore(request, stray) : "") + ownAnswer(request), ConnectionEnd::KeepOpen, {}};
    };
}

} // namespace

// Guards against a request that is refused, or sent to another endpoint, while it runs, and against an answer that is lost behind a stray.
BOOST_AUTO_TEST_CASE(stray_on_a_kept_connection_is_taken_for_the_answer_to_a_request_that_runs)
{
    for (const std::string &stray : {UnnamedRefusal, OtherRefusal, OtherAnswer, TwoNames}) {
        StrayFixture fixture(RouteKind::Unsafe, behindStray(stray));
        for (int request = 0; request < RequestCount; ++request) {
            const auto answer = fixture.exchangeNext();
            BOOST_REQUIRE(answer);
            BOOST_CHECK_EQUAL(answer->status, 200);
            BOOST_CHECK_EQUAL(answer->body, "served");
        }
        BOOST_CHECK_EQUAL(fixture.received(), RequestCount);
        const std::string kind = stray == UnnamedRefusal ? "stray_answer_unnamed" : "stray_answer_to_other_request";
        BOOST_CHECK_GE(fixture.counted(kind), 1);
    }
}

// Guards against a promise for a request whose own answer never comes.
BOOST_AUTO_TEST_CASE(request_is_refused_by_a_stray_whose_endpoint_answers_nothing_else)
{
    for (const std::string &stray : {UnnamedRefusal, OtherRefusal, OtherAnswer, TwoNames}) {
        StrayFixture fixture(RouteKind::Unsafe, [stray](const RawEndpoint::Request &request, int number) {
            return number == 2 ? RawAnswer{strayBefore(request, stray), ConnectionEnd::Close, {}}
                               : RawAnswer{ownAnswer(request), ConnectionEnd::KeepOpen, {}};
        });
        int failed = 0;
        for (int request = 0; request < RequestCount; ++request) {
            const unsigned status = fixture.exchangeNext().value().status;
            BOOST_CHECK(status == 200 || status == 502);
            failed += status == 502 ? 1 : 0;
        }
        BOOST_CHECK_GE(failed, 1);
        BOOST_CHECK_EQUAL(fixture.received(), RequestCount);
    }
}

// Guards against a second copy of a refusal that costs the next request on its connection the answer.
BOOST_AUTO_TEST_CASE(refusal_written_twice_costs_the_next_request_its_answer)
{
    const std::string first = "HTTP/1.1 503 Busy\r\nId: request-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
    for (const bool isLate : {false, true}) {
        StrayFixture fixture(RouteKind::Unsafe, [&](const RawEndpoint::Request &request, int number) {
            if (number == 1) {
                return RawAnswer{isLate ? first : first + first, ConnectionEnd::KeepOpen, {}};
            }
            const bool repeats = isLate && request["Id"] != "request-1";
            return RawAnswer{(repeats ? first : "") + ownAnswer(request), ConnectionEnd::KeepOpen, {}};
        });
        for (int request = 1; request <= RequestCount; ++request) {
            fixture.extraHeaders = {{"Id", "request-" + std::to_string(request)}};
            const auto answer = fixture.exchange("/x/1");
            BOOST_REQUIRE(answer);
            BOOST_CHECK_EQUAL(answer->status, 200);
        }
        // Each endpoint has refused the first request once.
        BOOST_CHECK_EQUAL(fixture.received(), RequestCount + 2);
    }
}

// Guards against a request that is refused, or loses its answer, because a copy of the refusal of another one arrives behind a complete
// answer, or before the next request is written: whole or in two parts, the second of which may come after that.
BOOST_AUTO_TEST_CASE(copy_of_a_refusal_behind_an_answer_is_taken_for_the_next_answer)
{
    const std::string copy = "HTTP/1.1 503 Busy\r\nId: request-1\r\nNot-Run: 1\r\nContent-Length: 4\r\n\r\nbusy";
    // Whole, and divided inside the status line, inside a header, and between head and body.
    for (const std::size_t cut : {copy.size(), std::string_view("HTTP/1.1 5").size(), copy.find("quest-1"), copy.find("busy")}) {
        const std::string first = copy.substr(0, cut);
        const std::string second = copy.substr(cut);
        for (const bool isLate : {false, true}) {
            for (const Duration pause : {Duration(0), Duration(LatePause * 3 / 2), Duration(LatePause * 4)}) {
                StrayFixture fixture(RouteKind::Unsafe, [&](const RawEndpoint::Request &request, int) {
                    RawAnswer answer{ownAnswer(request) + (isLate ? "" : first), ConnectionEnd::KeepOpen, {}};
                    answer.lateParts = isLate ? std::vector{first, second} : std::vector{second};
                    return answer;
                });
                for (int request = 0; request < RequestCount; ++request) {
                    const auto answer = fixture.exchangeNext();
                    BOOST_REQUIRE(answer);
                    BOOST_CHECK_EQUAL(answer->status, 200);
                    BOOST_CHECK_EQUAL(answer->body, "served");
                    fixture.runFor(pause);
                }
                BOOST_CHECK_EQUAL(fixture.received(), RequestCount);
                // Where bytes were there before the next request, that went over another connection.
                if (!isLate || pause > LatePause) {
                    BOOST_CHECK_EQUAL(fixture.acceptedConnections(), RequestCount);
                }
            }
        }
    }
}

// Guards against distrust of an endpoint that refuses without naming the request, where nothing else can have been meant.
BOOST_AUTO_TEST_CASE(unnamed_refusal_on_a_fresh_connection_is_not_retried)
{
    StrayFixture fixture(RouteKind::Unsafe, [](const RawEndpoint::Request &request, int number) {
        return RawAnswer{number == 1 ? UnnamedRefusal : ownAnswer(request), ConnectionEnd::KeepOpen, {}};
    });
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 200);
    BOOST_CHECK_EQUAL(fixture.received(), 3);
}

// Guards against a request that waits until its deadline behind its own refusal, on a kept connection to an endpoint that refuses without
// naming the request.
BOOST_AUTO_TEST_CASE(request_waits_for_an_answer_that_an_endpoint_has_given_without_a_name)
{
    for (const RouteKind kind : {RouteKind::Unsafe, RouteKind::Safe}) {
        StrayFixture fixture(kind, [](const RawEndpoint::Request &request, int number) {
            return RawAnswer{number % 2 == 1 ? UnnamedRefusal : ownAnswer(request), ConnectionEnd::KeepOpen, {}};
        });
        for (int request = 0; request < RequestCount; ++request) {
            const TimePoint start = currentTime();
            BOOST_CHECK_EQUAL(fixture.exchangeNext().value().status, 200);
            BOOST_CHECK_LT(std::chrono::duration_cast<std::chrono::milliseconds>(currentTime() - start).count(), 150);
        }
        BOOST_CHECK_EQUAL(fixture.counted("stray_answer_unnamed"), 0);
    }
}

// Guards against an endpoint of which nothing is learned when a request has waited in vain: one request alone pays for it.
BOOST_AUTO_TEST_CASE(each_request_waits_for_an_answer_that_an_endpoint_has_given_without_a_name)
{
    StrayFixture fixture(RouteKind::Unsafe, [](const RawEndpoint::Request &request, int number) {
        return RawAnswer{number % 2 == 0 ? UnnamedRefusal : ownAnswer(request), ConnectionEnd::KeepOpen, {}};
    });
    int lost = 0;
    for (int request = 0; request < 4 * RequestCount; ++request) {
        const unsigned status = fixture.exchangeNext().value().status;
        // Refused where both endpoints have refused it.
        BOOST_CHECK(status == 200 || status == 503 || status == 504);
        lost += status == 504 ? 1 : 0;
    }
    // One for each of the two endpoints.
    BOOST_CHECK_LE(lost, 2);
    BOOST_CHECK_GE(fixture.counted("connection_for_unnamed_answer"), 1);
}

// Guards against connections that are no longer reused because answers too many have come beside the requests' own.
BOOST_AUTO_TEST_CASE(stray_beside_answers_that_name_their_requests_costs_a_connection_each)
{
    StrayFixture fixture(RouteKind::Unsafe, behindStray(UnnamedRefusal));
    for (int request = 0; request < RequestCount; ++request) {
        BOOST_CHECK_EQUAL(fixture.exchangeNext().value().status, 200);
    }
    BOOST_CHECK_GE(fixture.counted("stray_answer_unnamed"), 1);
    BOOST_CHECK_EQUAL(fixture.counted("connection_for_unnamed_answer"), 0);
}

// Guards against an endpoint that names no request and is kept waiting for an answer that it has given.
BOOST_AUTO_TEST_CASE(answers_that_name_no_request_are_lost_on_kept_connections)
{
    StrayFixture fixture(RouteKind::Unsafe, [](const RawEndpoint::Request &, int) {
        return RawAnswer{"HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 6\r\n\r\nserved", ConnectionEnd::KeepOpen, {}};
    });
    for (int request = 0; request < RequestCount; ++request) {
        BOOST_CHECK_EQUAL(fixture.exchangeNext().value().status, 200);
    }
    BOOST_CHECK_EQUAL(fixture.acceptedConnections(), RequestCount);
}

// Guards against a request that no answer can name, on a connection that may bring the answer to another.
BOOST_AUTO_TEST_CASE(request_without_an_id_is_sent_on_a_kept_connection)
{
    StrayFixture fixture(RouteKind::Unsafe, [](const RawEndpoint::Request &request, int) {
        const std::string unnamed = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 6\r\n\r\nserved";
        return RawAnswer{request["Id"].empty() ? unnamed : ownAnswer(request), ConnectionEnd::KeepOpen, {}};
    });
    for (int request = 0; request < RequestCount; ++request) {
        BOOST_CHECK_EQUAL(fixture.exchangeNext().value().status, 200);
    }
    const std::size_t kept = fixture.acceptedConnections();
    fixture.extraHeaders = {{"Id", ""}};
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 200);
    BOOST_CHECK_EQUAL(fixture.acceptedConnections(), kept + 1);
}

// Guards against a success that is taken for a refusal because it also states that the request has not run.
BOOST_AUTO_TEST_CASE(success_that_states_not_run_is_retried)
{
    StrayFixture fixture(RouteKind::Unsafe, [](const RawEndpoint::Request &request, int) {
        const std::string head = ownHead(request, "200 OK") + "Not-Run: 1\r\nSignature: s\r\n";
        return RawAnswer{head + "Content-Length: 6\r\n\r\nserved", ConnectionEnd::KeepOpen, {}};
    });
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 200);
    BOOST_CHECK_EQUAL(fixture.received(), 1);
}

// Guards against a status that promises callers that their request has not run, though the endpoint has not said so: with a body that is
// short, large or streamed, on fresh and on kept connections.
BOOST_AUTO_TEST_CASE(signed_status_of_an_endpoint_promises_that_the_request_has_not_run)
{
    constexpr std::size_t LargeBodyBytes = 300'000;
    for (const char *status : {"408 Request Timeout", "421 Misdirected Request", "429 Too Many Requests", "503 Service Unavailable"}) {
        for (const std::size_t size : {std::size_t(0), LargeBodyBytes}) {
            for (const std::string &type : {"text/plain", "text/event-stream"}) {
                StrayFixture fixture(RouteKind::Unsafe, [&](const RawEndpoint::Request &request, int number) {
                    const std::string head = ownHead(request, status) + "Signature: s\r\nContent-Type: " + type + "\r\n";
                    const std::string failure = head + "Content-Length: " + std::to_string(size) + "\r\n\r\n" + std::string(size, 'x');
                    return RawAnswer{number % 2 == 0 ? ownAnswer(request) : failure, ConnectionEnd::KeepOpen, {}};
                });
                int replaced = 0;
                for (int request = 0; request < RequestCount; ++request) {
                    const auto answer = fixture.exchangeNext();
                    BOOST_REQUIRE(answer);
                    BOOST_CHECK(answer->status == 200 || answer->status == 502);
                    BOOST_CHECK_EQUAL(findHeader(answer->headers, "Signature").empty(), answer->status == 502);
                    replaced += answer->status == 502 ? 1 : 0;
                }
                BOOST_CHECK_GE(replaced, 1);
                BOOST_CHECK_EQUAL(fixture.counted("unproven_refusal_replaced"), replaced);
                BOOST_CHECK_EQUAL(fixture.received(), RequestCount);
            }
        }
    }
}

// Guards against an endpoint's own status that does not reach the caller of a request that may run again.
BOOST_AUTO_TEST_CASE(signed_status_is_replaced_for_a_request_that_may_run_again)
{
    for (const char *status : {"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"}) {
        StrayFixture fixture(RouteKind::Safe, [status](const RawEndpoint::Request &request, int) {
            return RawAnswer{ownHead(request, status) + "Signature: s\r\nContent-Length: 0\r\n\r\n", ConnectionEnd::KeepOpen, {}};
        });
        const auto answer = fixture.exchange("/x/1");
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->status, std::stoul(status));
        BOOST_CHECK_EQUAL(findHeader(answer->headers, "Signature"), "s");
        BOOST_CHECK_EQUAL(fixture.counted("unproven_refusal_replaced"), 0);
    }
}

// Guards against a stray that is cut off within a header, so that the head of the request's own answer continues it.
BOOST_AUTO_TEST_CASE(stray_cut_off_within_a_header_takes_the_name_of_the_answer_behind_it)
{
    const std::string cutOff = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nNote: ";
    StrayFixture fixture(RouteKind::Unsafe, behindStray(cutOff));
    for (int request = 0; request < RequestCount; ++request) {
        const auto answer = fixture.exchangeNext();
        BOOST_REQUIRE(answer);
        BOOST_CHECK(answer->status == 200 || answer->status == 502);
    }
    BOOST_CHECK_EQUAL(fixture.received(), RequestCount);
}

// Guards against a request that may run again and waits until its timeout, because its endpoint has given nothing but a stray.
BOOST_AUTO_TEST_CASE(request_that_may_run_again_waits_behind_a_stray_until_its_timeout)
{
    for (const std::string &stray : {UnnamedRefusal, OtherAnswer}) {
        int strays = 0;
        StrayFixture fixture(RouteKind::Safe, [&strays, stray](const RawEndpoint::Request &request, int number) {
            const bool isStray = number == 2 && strays++ == 0;
            return RawAnswer{isStray ? stray : ownAnswer(request), ConnectionEnd::KeepOpen, {}};
        });
        for (int request = 0; request < RequestCount; ++request) {
            const TimePoint start = currentTime();
            const auto answer = fixture.exchangeNext();
            BOOST_REQUIRE(answer);
            BOOST_CHECK_EQUAL(answer->status, 200);
            BOOST_CHECK_LT(std::chrono::duration_cast<std::chrono::milliseconds>(currentTime() - start).count(), 300);
        }
        BOOST_CHECK_GE(strays, 1);
    }
}

// Guards against a request that is suspected of crashing its endpoint because a stray is too large to be read.
BOOST_AUTO_TEST_CASE(stray_that_cannot_be_read_makes_the_request_suspect)
{
    const std::string large =
        "HTTP/1.1 200 OK\r\nId: request-0\r\nSignature: s\r\nContent-Length: 70000\r\n\r\n" + std::string(70'000, 'x');
    StrayFixture fixture(RouteKind::Unsafe, behindStray(large));
    for (int request = 0; request < RequestCount; ++request) {
        BOOST_REQUIRE(fixture.exchangeNext());
    }
    BOOST_CHECK_EQUAL(fixture.counted("request_broken_off"), 0);
}
