// Tests what callers of the gateway get when an endpoint ends an answer early, for each kind of framing and of connection end.
#include "net/raw_endpoint_testing.h"
#include "node/gateway_testing.h"

#include <boost/test/unit_test.hpp>

#include <sstream>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr std::uint16_t FirstPort = 9'380;
constexpr int EventCount = 12;
constexpr std::string_view FirstEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
constexpr std::string_view PartialEvent = "id: 3\nda";

enum class Framing { None, Chunked, ChunkedWithoutEnd };

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: event " + std::to_string(number) + "\n\n";
}

std::string events(int first, int last)
{
    std::string text;
    for (int number = first; number <= last; ++number) {
        text += event(number);
    }
    return text;
}

std::string chunk(std::string_view body)
{
    std::ostringstream text;
    text << std::hex << body.size() << "\r\n" << body << "\r\n";
    return text.str();
}

std::string answerBytes(std::string_view contentType, Framing framing, std::string_view body)
{
    std::string text = "HTTP/1.1 200 OK\r\nId: request-1\r\nSignature: s\r\nContent-Type: " + std::string(contentType) + "\r\n";
    if (framing == Framing::None) {
        return text + "\r\n" + std::string(body);
    }
    text += "Transfer-Encoding: chunked\r\n\r\n" + chunk(body);
    return framing == Framing::Chunked ? text + "0\r\n\r\n" : text;
}

std::string streamBytes(Framing framing, std::string_view body)
{
    return answerBytes("text/event-stream", framing, body);
}

// Two raw endpoints: the first to be asked gives the first answer, all others the second.
GatewayFixture::EndpointFactory rawEndpoints(int &runs, RawAnswer first, RawEndpoint::Handler others = {})
{
    return [&runs, first = std::move(first), others = std::move(others)](boost::asio::io_context &loop, const Address &address) {
        return std::make_shared<RawEndpoint>(loop, address, [&runs, first, others](const RawEndpoint::Request &request) {
            return ++runs == 1 || !others ? first : others(request);
        });
    };
}

GatewayScenario scenario(RouteKind kind, bool resumable = false)
{
    return {kind, resumable, Duration(0), FirstPort};
}

} // namespace

// Guards against a truncated stream that reaches its caller with the end of a complete one.
BOOST_AUTO_TEST_CASE(stream_that_ends_inside_an_event_is_not_complete)
{
    const std::string body = std::string(FirstEvents) + std::string(PartialEvent);
    for (const Framing framing : {Framing::None, Framing::Chunked, Framing::ChunkedWithoutEnd}) {
        for (const ConnectionEnd end : {ConnectionEnd::Close, ConnectionEnd::Exit, ConnectionEnd::Reset}) {
            int runs = 0;
            GatewayFixture fixture(scenario(RouteKind::Streaming), rawEndpoints(runs, {streamBytes(framing, body), end, {}}));
            BOOST_CHECK(!fixture.exchange("/x/1"));
            BOOST_CHECK(body.starts_with(fixture.partial));
            // A reset may overtake the bytes that were sent before it.
            BOOST_CHECK(end == ConnectionEnd::Reset || fixture.partial.starts_with(FirstEvents));
            BOOST_CHECK_EQUAL(runs, 1);
        }
    }
}

// Guards against a truncated resumable stream that ends there although another endpoint can continue it.
BOOST_AUTO_TEST_CASE(resumable_stream_that_ends_inside_an_event_continues_at_another_endpoint)
{
    const std::string truncated = events(1, 4) + "id: 5\ndat";
    for (const Framing framing : {Framing::None, Framing::Chunked}) {
        int runs = 0;
        GatewayFixture fixture(
            scenario(RouteKind::Streaming, true),
            rawEndpoints(runs, {streamBytes(framing, truncated), ConnectionEnd::Close, {}}, [](const RawEndpoint::Request &request) {
                BOOST_CHECK_EQUAL(request["Resume-After"], "4");
                return RawAnswer{streamBytes(Framing::Chunked, events(5, EventCount)), ConnectionEnd::KeepOpen, {}};
            }));
        const auto answer = fixture.exchange("/x/1");
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->body, events(1, EventCount));
        BOOST_CHECK_EQUAL(runs, 2);
    }
}

// Guards against events that a process sent before it exited being taken for a complete stream.
BOOST_AUTO_TEST_CASE(stream_without_framing_is_not_complete_if_its_endpoint_exits)
{
    int runs = 0;
    GatewayFixture fixture(scenario(RouteKind::Streaming),
                           rawEndpoints(runs, {streamBytes(Framing::None, events(1, 3)), ConnectionEnd::Exit, {}}));
    BOOST_CHECK(!fixture.exchange("/x/1"));
    BOOST_CHECK_EQUAL(fixture.partial, events(1, 3));
    BOOST_CHECK_EQUAL(runs, 1);
}

// Guards against the same on a route whose streams another endpoint can continue.
BOOST_AUTO_TEST_CASE(resumable_stream_without_framing_continues_if_its_endpoint_exits)
{
    int runs = 0;
    GatewayFixture fixture(
        scenario(RouteKind::Streaming, true),
        rawEndpoints(runs, {streamBytes(Framing::None, events(1, 3)), ConnectionEnd::Exit, {}}, [](const RawEndpoint::Request &request) {
            BOOST_CHECK_EQUAL(request["Resume-After"], "3");
            return RawAnswer{streamBytes(Framing::Chunked, events(4, EventCount)), ConnectionEnd::KeepOpen, {}};
        }));
    const auto answer = fixture.exchange("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->body, events(1, EventCount));
}

// Guards against a truncated plain answer that reaches its caller with the length of what arrived.
BOOST_AUTO_TEST_CASE(plain_answer_without_framing_is_not_complete_if_its_endpoint_exits)
{
    int runs = 0;
    GatewayFixture fixture(scenario(RouteKind::Unsafe),
                           rawEndpoints(runs, {answerBytes("text/plain", Framing::None, "chassis 11 be"), ConnectionEnd::Exit, {}}));
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().status, 502);
    BOOST_CHECK_EQUAL(runs, 1);
}

// Guards against the same on a route whose requests another endpoint can repeat.
BOOST_AUTO_TEST_CASE(safe_request_is_repeated_if_its_endpoint_exits_during_an_answer_without_framing)
{
    int runs = 0;
    GatewayFixture fixture(
        scenario(RouteKind::Safe),
        rawEndpoints(
            runs, {answerBytes("text/plain", Framing::None, "chassis 11 be"), ConnectionEnd::Exit, {}}, [](const RawEndpoint::Request &) {
                return RawAnswer{answerBytes("text/plain", Framing::Chunked, "chassis 11 belongs to A"), ConnectionEnd::KeepOpen, {}};
            }));
    BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().body, "chassis 11 belongs to A");
    BOOST_CHECK_EQUAL(runs, 2);
}

// Guards against rejecting endpoints that end each answer by closing its connection.
BOOST_AUTO_TEST_CASE(answer_without_framing_is_complete_if_its_endpoint_still_serves)
{
    for (const RouteKind kind : {RouteKind::Streaming, RouteKind::Unsafe}) {
        const bool isStream = kind == RouteKind::Streaming;
        const std::string body = isStream ? events(1, EventCount) : "served";
        const std::string_view type = isStream ? "text/event-stream" : "text/plain";
        int runs = 0;
        GatewayFixture fixture(scenario(kind), rawEndpoints(runs, {answerBytes(type, Framing::None, body), ConnectionEnd::Close, {}}));
        BOOST_CHECK_EQUAL(fixture.exchange("/x/1").value().body, body);
        BOOST_CHECK_EQUAL(fixture.exchange("/x/2").value().body, body);
        BOOST_CHECK_EQUAL(runs, 2);
    }
}

// Guards against an answer of another kind that ends a stream as if it were complete, with its body in place of the missing events.
BOOST_AUTO_TEST_CASE(stream_is_not_continued_by_an_answer_of_another_kind)
{
    const std::string head = "Id: request-1\r\nSignature: s\r\nContent-Type: text/plain\r\nContent-Length: ";
    for (const std::string &other : {"HTTP/1.1 500 Internal Server Error\r\n" + head + "0\r\n\r\n",
                                     "HTTP/1.1 500 Internal Server Error\r\n" + head + "8\r\n\r\nfailed\n\n",
                                     "HTTP/1.1 200 OK\r\n" + head + "8\r\n\r\nserved\n\n"}) {
        int runs = 0;
        GatewayFixture fixture(scenario(RouteKind::Streaming, true),
                               rawEndpoints(runs,
                                            {streamBytes(Framing::ChunkedWithoutEnd, events(1, 3)), ConnectionEnd::Close, {}},
                                            [&other](const RawEndpoint::Request &) {
                                                return RawAnswer{other, ConnectionEnd::KeepOpen, {}};
                                            }));
        BOOST_CHECK(!fixture.exchange("/x/1"));
        BOOST_CHECK_EQUAL(fixture.partial, events(1, 3));
        BOOST_CHECK_EQUAL(runs, 2);
    }
}

// Guards against giving up a stream whose first event carries no id.
BOOST_AUTO_TEST_CASE(resumable_stream_that_begins_with_a_comment_continues_at_another_endpoint)
{
    const std::string comment = ": begins\n\n";
    int runs = 0;
    GatewayFixture fixture(
        scenario(RouteKind::Streaming, true),
        rawEndpoints(runs,
                     {streamBytes(Framing::ChunkedWithoutEnd, comment) + chunk(events(1, 3)), ConnectionEnd::Close, {}},
                     [](const RawEndpoint::Request &request) {
                         BOOST_CHECK_EQUAL(request["Resume-After"], "3");
                         return RawAnswer{streamBytes(Framing::Chunked, events(4, EventCount)), ConnectionEnd::KeepOpen, {}};
                     }));
    const auto answer = fixture.exchange("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->body, comment + events(1, EventCount));
}

// Guards against an answer that passes for complete although its head ended early, wherever the endpoint stopped.
BOOST_AUTO_TEST_CASE(answer_that_ends_inside_its_head_is_complete)
{
    const std::string whole = answerBytes("text/plain", Framing::None, "");
    for (std::size_t length = 0; length < whole.size(); length += 3) {
        for (const ConnectionEnd end : {ConnectionEnd::Close, ConnectionEnd::Exit, ConnectionEnd::Reset}) {
            int runs = 0;
            GatewayFixture fixture(scenario(RouteKind::Unsafe), rawEndpoints(runs, {whole.substr(0, length), end, {}}));
            const auto answer = fixture.exchange("/x/1");
            BOOST_TEST_CONTEXT("after " << length << " bytes")
            {
                BOOST_REQUIRE(answer);
                BOOST_CHECK_EQUAL(answer->status, 502);
            }
        }
    }
}
