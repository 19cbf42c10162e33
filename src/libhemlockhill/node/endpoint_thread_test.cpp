// Tests that the endpoint thread respects the limits set by the sender of an exchange, and that it discards one.
#include "hemlockhill/endpoint_thread.h"

#include "net/raw_endpoint_testing.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <functional>
#include <future>

using namespace Hemlockhill;
using namespace Hemlockhill::Testing;
using boost::asio::ip::tcp;

namespace
{

// Starts one exchange and returns how it failed.
ExchangeFailure failureOf(const ExchangeLimits &limits)
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    TimerService timers;
    Metrics metrics;
    std::promise<ExchangeFailure> failed;
    EndpointThread endpointThread(EndpointSettings{}, timers, metrics, [&failed](const CallerThreadMessage &message) {
        if (const auto *event = std::get_if<ExchangeFailed>(&message)) {
            failed.set_value(event->failure);
        }
        return true;
    });
    endpointThread.start();
    StartExchange message;
    message.exchange = ExchangeId{1};
    message.address = Address{"127.0.0.1", acceptor.local_endpoint().port()};
    message.request = HttpRequest{"POST", "/", {}, "deed"};
    message.limits = limits;
    message.connection = ConnectionChoice::FreshOnly;
    BOOST_REQUIRE(endpointThread.post(message));
    ExchangeFailure failure = failed.get_future().get();
    timers.stop();
    endpointThread.stop();
    return failure;
}

} // namespace

BOOST_AUTO_TEST_CASE(a_call_past_its_dispatch_deadline_is_not_sent)
{
    ExchangeLimits limits;
    limits.firstByte = std::chrono::milliseconds(50);
    limits.sendBefore = currentTime() - std::chrono::milliseconds(1);
    BOOST_TEST(!failureOf(limits).mayHaveReached);
    limits.sendBefore = currentTime() + std::chrono::hours(1);
    BOOST_TEST(failureOf(limits).mayHaveReached);
}

// Guards against a connection that stays open because the endpoint goes on sending after the end of its stream.
BOOST_AUTO_TEST_CASE(discarded_exchange_is_closed_if_its_endpoint_goes_on_sending)
{
    const Address address{"127.0.0.1", 9'365};
    boost::asio::io_context loop;
    RawEndpoint endpoint(loop, address, [](const RawEndpoint::Request &) {
        return RawAnswer{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ConnectionEnd::RepeatTail, "4\r\nxxxx\r\n"};
    });
    TimerService timers;
    Metrics metrics;
    std::atomic<bool> hasBody = false;
    EndpointThread endpointThread(EndpointSettings{}, timers, metrics, [&hasBody](const CallerThreadMessage &message) {
        hasBody = hasBody || std::holds_alternative<ExchangeBody>(message);
        return true;
    });
    const auto holdsWithinOneSecond = [&loop](const std::function<bool()> &condition) {
        const TimePoint end = currentTime() + std::chrono::seconds(1);
        while (!condition() && currentTime() < end) {
            loop.run_one_for(std::chrono::milliseconds(20));
        }
        return condition();
    };
    endpointThread.start();
    StartExchange message;
    message.exchange = ExchangeId{1};
    message.address = address;
    message.request = HttpRequest{"POST", "/", {}, "deed"};
    BOOST_REQUIRE(endpointThread.post(message));
    BOOST_CHECK(holdsWithinOneSecond([&hasBody] { return hasBody.load(); }));
    BOOST_REQUIRE(endpointThread.post(DiscardExchange{ExchangeId{1}}));
    BOOST_CHECK(holdsWithinOneSecond([&endpoint] { return endpoint.openConnections() == 0; }));
    timers.stop();
    endpointThread.stop();
}
