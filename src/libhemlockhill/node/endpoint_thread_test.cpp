// The endpoint thread must respect the timeouts set by the sender of an exchange, in addition to its adaptive connection timeouts.
#include "hemlockhill/endpoint_thread.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <future>

using namespace Hemlockhill;
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
