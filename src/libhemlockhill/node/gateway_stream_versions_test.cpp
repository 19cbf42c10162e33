// Tests that a stream goes on only at endpoints of the software version that began it, within one answer and over several requests.
#include "hemlockhill/queue_policy.h"
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

GatewayScenario resumableStream(const std::string &firstVersion = "v1", const std::string &secondVersion = "v1", bool isFirstStart = true)
{
    return {
        RouteKind::Streaming, true, Duration(0), FirstPort, {SoftwareVersion{firstVersion}, SoftwareVersion{secondVersion}}, isFirstStart};
}

// Raw endpoints that give the rest of a stream, and count their requests.
GatewayFixture::EndpointFactory countingEndpoints(std::array<int, 2> &runs)
{
    return [&runs](boost::asio::io_context &loop, const Address &address) {
        return std::make_shared<RawEndpoint>(loop, address, [&runs, address](const RawEndpoint::Request &) {
            ++runs.at(address.port - FirstPort - 1U);
            return rest();
        });
    };
}

// A gateway between endpoints of v1 and v2, and a caller that continues a stream which another node began.
struct Resumption {
    explicit Resumption(const std::string &secondVersion = "v2", bool isFirstStart = true)
        : fixture(resumableStream("v1", secondVersion, isFirstStart), countingEndpoints(runs))
    {
        fixture.extraHeaders = {{"After", "1"}, {"First-Id", "request-0"}};
        fixture.gateway().onStreamBegun = [this](const StreamOrigin &origin) { begun.push_back(origin); };
    }

    // Lets lookups find this origin.
    void setOrigin(const std::string &version)
    {
        fixture.gateway().findStreamOrigin = [this, version](const RequestId &request, const StreamOrigins::Found &found) {
            asked.push_back(request);
            found({SoftwareVersion{version}, version.empty() ? OriginSource::Nowhere : OriginSource::OtherNode});
        };
    }

    std::array<int, 2> runs{};
    GatewayFixture fixture;
    std::vector<RequestId> asked;
    std::vector<StreamOrigin> begun;
};

bool isRefusedAs(const std::optional<HttpResponse> &answer, std::string_view reason)
{
    return answer && answer->status == 503 && answer->body.find(reason) != std::string::npos
           && answer->body.find(R"("ran":"no")") != std::string::npos && !findHeader(answer->headers, "Retry-After").empty();
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

// Guards against joining two versions over a caller's tries.
BOOST_AUTO_TEST_CASE(resumption_at_another_node_joins_two_software_versions)
{
    for (int round = 0; round < 8; ++round) {
        Resumption resumption;
        resumption.setOrigin("v2");
        const auto answer = resumption.fixture.exchange("/x/1");
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->body, "id: 2\ndata: two\n\n");
        BOOST_CHECK_EQUAL(resumption.runs[0], 0);
        BOOST_CHECK_EQUAL(resumption.runs[1], 1);
        BOOST_REQUIRE_EQUAL(resumption.asked.size(), 1);
        BOOST_CHECK_EQUAL(resumption.asked.front(), RequestId{"request-0"});
        // The caller may come back a third time, and still names the first request.
        BOOST_REQUIRE_EQUAL(resumption.begun.size(), 1);
        BOOST_CHECK(resumption.begun.front() == (StreamOrigin{RequestId{"request-0"}, SoftwareVersion{"v2"}}));
    }
}

// Guards against guessing the version of a stream that no node knows.
BOOST_AUTO_TEST_CASE(unknown_stream_is_resumed_while_two_versions_serve)
{
    Resumption resumption;
    resumption.setOrigin("");
    BOOST_CHECK(isRefusedAs(resumption.fixture.exchange("/x/1"), "stream_origin_unknown"));
    resumption.fixture.extraHeaders = {{"After", "1"}};
    BOOST_CHECK(isRefusedAs(resumption.fixture.exchange("/x/1"), "stream_origin_unknown"));
    BOOST_CHECK((resumption.runs == std::array<int, 2>{}));
}

BOOST_AUTO_TEST_CASE(unknown_stream_goes_on_where_one_version_has_served_alone)
{
    Resumption resumption("v1");
    resumption.setOrigin("");
    BOOST_CHECK(resumption.fixture.exchange("/x/1"));
    BOOST_CHECK_EQUAL(resumption.runs[0] + resumption.runs[1], 1);
}

// All nodes have been killed at once and come back, while the endpoints of another version have just left: nobody knows the origin of the
// stream, and the only version that is seen need not have begun it.
BOOST_AUTO_TEST_CASE(unknown_stream_is_joined_from_two_versions_after_all_nodes_restart)
{
    Resumption resumption("v1", false);
    resumption.setOrigin("");
    BOOST_CHECK(isRefusedAs(resumption.fixture.exchange("/x/1"), "stream_origin_unknown"));
    BOOST_CHECK((resumption.runs == std::array<int, 2>{}));
}

// The same once the node has seen only one version for as long as streams last.
BOOST_AUTO_TEST_CASE(unknown_stream_is_refused_for_longer_than_streams_last)
{
    Resumption resumption("v1", false);
    resumption.setOrigin("");
    Route route;
    route.timeout = std::chrono::seconds(2);
    resumption.fixture.runFor(streamLifetime(route) + std::chrono::milliseconds(100));
    resumption.fixture.reportListUnavailable();
    BOOST_CHECK(resumption.fixture.exchange("/x/1"));
    BOOST_CHECK_EQUAL(resumption.runs[0] + resumption.runs[1], 1);
}

BOOST_AUTO_TEST_CASE(stream_whose_version_has_left_is_refused)
{
    Resumption resumption;
    resumption.setOrigin("v0");
    const TimePoint started = currentTime();
    BOOST_CHECK(isRefusedAs(resumption.fixture.exchange("/x/1"), "version_absent"));
    BOOST_CHECK(currentTime() - started < SilenceLimit);
    BOOST_CHECK((resumption.runs == std::array<int, 2>{}));
}

// Guards against streams whose origin no node records.
BOOST_AUTO_TEST_CASE(version_of_a_new_stream_is_not_recorded)
{
    Resumption resumption("v1");
    resumption.fixture.extraHeaders.clear();
    BOOST_CHECK(resumption.fixture.exchange("/x/1"));
    BOOST_REQUIRE_EQUAL(resumption.begun.size(), 1);
    BOOST_CHECK(resumption.begun.front() == (StreamOrigin{RequestId{"request-1"}, SoftwareVersion{"v1"}}));
}
