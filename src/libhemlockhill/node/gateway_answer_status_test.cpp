// Tests what callers receive when endpoints answer with a status that is none of HTTP's, by kind of request.
#include "net/raw_endpoint_testing.h"
#include "node/gateway_testing.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <vector>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;

namespace
{

constexpr std::uint16_t FirstPort = 9'378;

// Returns the status that the caller receives when both endpoints answer with the given one; 0 if the connection is closed without a head.
unsigned statusFor(RouteKind kind, const std::string &status, int &received)
{
    std::vector<std::shared_ptr<RawEndpoint>> endpoints;
    GatewayFixture fixture({kind, false, Duration(0), FirstPort}, [&](boost::asio::io_context &loop, const Address &address) {
        endpoints.push_back(std::make_shared<RawEndpoint>(loop, address, [&received, status](const RawEndpoint::Request &request) {
            ++received;
            return RawAnswer{"HTTP/1.1 " + status + " Status\r\nId: " + std::string(request["Id"])
                                 + "\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok",
                             ConnectionEnd::KeepOpen,
                             {}};
        }));
        return endpoints.back();
    });
    const auto response = fixture.exchange("/x/1");
    endpoints.clear();
    return response ? response->status : 0;
}

} // namespace

// Guards against passing on a status that callers' HTTP libraries do not know, and against statuses that promise "not run" without proof.
BOOST_AUTO_TEST_CASE(status_outside_http_is_answered_as_a_bad_gateway)
{
    for (const RouteKind kind : {RouteKind::Safe, RouteKind::Unsafe, RouteKind::Streaming}) {
        for (const char *status : {"000", "099", "600", "999"}) {
            int received = 0;
            BOOST_TEST_CONTEXT(static_cast<int>(kind) << " " << status)
            {
                BOOST_CHECK_EQUAL(statusFor(kind, status, received), 502);
                BOOST_CHECK_GE(received, 1);
                BOOST_CHECK(kind != RouteKind::Unsafe || received == 1);
            }
        }
    }
}
