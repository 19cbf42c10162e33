// Tests what the gateway does with endpoints whose answers have no end.
#include "net/raw_endpoint_testing.h"
#include "node/gateway_testing.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr std::uint16_t FirstPort = 9'370;
constexpr Duration CloseTimeout = std::chrono::seconds(1);

// A gateway whose endpoints send the given bytes and then the tail without end.
class UnboundedAnswers
{
public:
    UnboundedAnswers(RouteKind kind, bool resumable, const std::string &bytes, const std::string &tail)
        : m_fixture({kind, resumable, Duration(0), FirstPort}, [&, this](boost::asio::io_context &loop, const Address &address) {
            auto endpoint = std::make_shared<RawEndpoint>(loop, address, [=](const RawEndpoint::Request &) {
                return RawAnswer{bytes, ConnectionEnd::RepeatTail, tail};
            });
            m_endpoints.push_back(endpoint);
            return endpoint;
        })
    {
    }

    std::string sendRaw(const std::string &bytes) { return m_fixture.sendRaw(bytes); }
    std::optional<HttpResponse> exchange() { return m_fixture.exchange("/x/1"); }

    // Whether the gateway closes all connections to the endpoints in time.
    bool closesConnections()
    {
        m_fixture.runFor(CloseTimeout);
        return m_endpoints.at(0).lock()->openConnections() + m_endpoints.at(1).lock()->openConnections() == 0;
    }

private:
    // The fixture owns them, since they must not outlive its event loop.
    std::vector<std::weak_ptr<RawEndpoint>> m_endpoints;
    GatewayFixture m_fixture;
};

} // namespace

// Guards against reading the rest of a refusal for as long as it comes, after the caller has its answer.
BOOST_AUTO_TEST_CASE(refusal_without_end_does_not_keep_its_connection)
{
    UnboundedAnswers answers(
        RouteKind::Unsafe, false, "HTTP/1.1 503 Service Unavailable\r\nId: request-1\r\nNot-Run: 1\r\n\r\n", std::string(4'096, 'x'));
    BOOST_CHECK_EQUAL(answers.exchange().value().status, 503);
    BOOST_CHECK(answers.closesConnections());
}

// Guards against an event without end, which is buffered for a resumable stream and forwarded for others.
BOOST_AUTO_TEST_CASE(event_without_end_breaks_its_stream_off)
{
    for (const bool resumable : {true, false}) {
        UnboundedAnswers answers(RouteKind::Streaming,
                                 resumable,
                                 "HTTP/1.1 200 OK\r\nId: request-1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\ndata: ",
                                 std::string(4'096, 'x'));
        const TimePoint start = currentTime();
        BOOST_CHECK(!answers.exchange());
        BOOST_CHECK(currentTime() - start < CloseTimeout);
        BOOST_CHECK(answers.closesConnections());
    }
}

// Guards against a plain answer without end.
BOOST_AUTO_TEST_CASE(plain_answer_without_end_is_broken_off)
{
    UnboundedAnswers answers(
        RouteKind::Unsafe, false, "HTTP/1.1 200 OK\r\nId: request-1\r\nSignature: s\r\n\r\n", std::string(65'536, 'x'));
    BOOST_CHECK(!answers.exchange());
    BOOST_CHECK(answers.closesConnections());
}

// Guards against a request of a caller whose body never begins, since the extension of its first chunk has no end.
BOOST_AUTO_TEST_CASE(request_with_a_chunk_extension_without_end_is_refused)
{
    UnboundedAnswers answers(RouteKind::Unsafe, false, {}, {});
    const std::string answer =
        answers.sendRaw("POST /x/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;name=" + std::string(131'072, 'x'));
    BOOST_CHECK(answer.empty() || answer.starts_with("HTTP/1.1 400"));
}

// Guards against a request of a caller whose body never ends, since the trailer behind its last chunk has no end.
BOOST_AUTO_TEST_CASE(request_with_a_trailer_without_end_is_refused)
{
    UnboundedAnswers answers(RouteKind::Unsafe, false, {}, {});
    const std::string answer = answers.sendRaw("POST /x/1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nName: "
                                               + std::string(131'072, 'x'));
    BOOST_CHECK(answer.empty() || answer.starts_with("HTTP/1.1 4"));
}
