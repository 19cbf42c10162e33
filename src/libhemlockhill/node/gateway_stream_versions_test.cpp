// Tests that a stream goes on only at endpoints of the software version that began it, within one answer and over several requests.
#include "net/raw_endpoint_testing.h"
#include "node/gateway_testing.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr std::uint16_t FirstPort = 9'360;
// Longer than a request waits for an endpoint to recover.
constexpr Duration SilenceLimit = std::chrono::milliseconds(1500);

std::string streamBytes(std::string_view events)
{
    return "HTTP/1.1 200 OK\r\nId: request-1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n" + std::string(events);
}

RawAnswer brokenOff()
{
    return {streamBytes("id: 1\ndata: one\n\nid: 2\nda"), ConnectionEnd::Close, {}};
}

// Two raw endpoints: the first to be asked gives the first answer, the other the second.
GatewayFixture::EndpointFactory rawEndpoints(int &runs, RawAnswer first, RawAnswer second)
{
    return [&runs, first = std::move(first), second = std::move(second)](boost::asio::io_context &loop, const Address &address) {
        return std::make_shared<RawEndpoint>(
            loop, address, [&runs, first, second](const RawEndpoint::Request &) { return ++runs == 1 ? first : second; });
    };
}

RawAnswer rest()
{
    return {streamBytes("id: 2\ndata: two\n\n"), ConnectionEnd::Close, {}};
}

GatewayScenario resumableStream(const std::string &firstVersion = "v1", const std::string &secondVersion = "v1")
{
    return {RouteKind::Streaming, true, Duration(0), FirstPort, {SoftwareVersion{firstVersion}, SoftwareVersion{secondVersion}}};
}

} // namespace

// Guards against a caller that waits for the rest of its stream until its own timeout.
BOOST_AUTO_TEST_CASE(started_stream_is_cut_off_when_no_endpoint_is_left)
{
    int runs = 0;
    GatewayFixture fixture(
        resumableStream(),
        rawEndpoints(runs,
                     brokenOff(),
                     {"HTTP/1.1 503 Busy\r\nId: request-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", ConnectionEnd::KeepOpen, {}}));
    const TimePoint started = currentTime();
    BOOST_CHECK(!fixture.exchange("/x/1"));
    BOOST_CHECK_EQUAL(fixture.partial, "id: 1\ndata: one\n\n");
    BOOST_CHECK(currentTime() - started < SilenceLimit);
    BOOST_CHECK_EQUAL(fixture.inProgress(), 0);
}

// Guards against one answer that joins the events of two software versions.
BOOST_AUTO_TEST_CASE(retry_inside_an_answer_joins_two_software_versions)
{
    for (const auto &[first, second] : {std::pair("v1", "v2"), std::pair("v2", "v1"), std::pair("", "")}) {
        int runs = 0;
        GatewayFixture fixture(resumableStream(first, second), rawEndpoints(runs, brokenOff(), rest()));
        BOOST_CHECK(!fixture.exchange("/x/1"));
        BOOST_CHECK_EQUAL(fixture.partial, "id: 1\ndata: one\n\n");
        BOOST_CHECK_EQUAL(runs, 1);
    }
}

BOOST_AUTO_TEST_CASE(stream_goes_on_at_another_endpoint_of_its_version)
{
    int runs = 0;
    GatewayFixture fixture(resumableStream("v7", "v7"), rawEndpoints(runs, brokenOff(), rest()));
    const auto answer = fixture.exchange("/x/1");
    BOOST_REQUIRE(answer);
    BOOST_CHECK_EQUAL(answer->body, "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
}
