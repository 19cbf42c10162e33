// Tests that a call sends no byte when its dispatch deadline has passed by the time its connection is open.
#include "hemlockhill/http_exchange.h"
#include "hemlockhill/timer_service.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <optional>

using namespace Hemlockhill;
using boost::asio::ip::tcp;

BOOST_AUTO_TEST_CASE(no_byte_is_sent_after_the_dispatch_deadline)
{
    for (const bool late : {true, false}) {
        boost::asio::io_context loop;
        tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        ConnectionPool pool(loop, 1);
        std::optional<ExchangeFailure> failure;
        bool sending = false;
        ExchangeHooks hooks;
        hooks.onSending = [&sending] { sending = true; };
        hooks.onFailed = [&failure](const ExchangeFailure &event) { failure = event; };
        ExchangeLimits limits;
        limits.firstByte = std::chrono::milliseconds(50);
        limits.sendBefore = currentTime() + (late ? Duration(0) : Duration(std::chrono::hours(1)));
        const HttpRequest request{"POST", "/", {}, "deed"};
        pool.start(Address{"127.0.0.1", acceptor.local_endpoint().port()}, request, limits, ConnectionChoice::FreshOnly, hooks);
        while (!failure) {
            loop.run_one();
        }
        tcp::socket peer = acceptor.accept();
        std::string received(100, '\0');
        boost::system::error_code error;
        const std::size_t bytes = peer.read_some(boost::asio::buffer(received), error);
        BOOST_TEST((bytes == 0) == late);
        BOOST_TEST(sending == !late);
        BOOST_TEST(failure->mayHaveReached == !late);
    }
}
