// Tests that broadcasts reach each node and leave the link free for requests.
#include "hemlockhill/broadcast_queue.h"

#include <boost/test/unit_test.hpp>

#include <map>

using namespace Hemlockhill;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::seconds(100);
constexpr Duration Step = std::chrono::milliseconds(5);
constexpr Bandwidth Limit{625'000};

Broadcast broadcast(std::uint16_t nodes, std::string datagram = std::string(100, 'x'))
{
    Broadcast message{"test", std::move(datagram), {}};
    for (std::uint16_t port = 1; port <= nodes; ++port) {
        message.nodes.emplace_back(boost::asio::ip::make_address("127.0.0.1"), port);
    }
    return message;
}

} // namespace

// Guards against the loss of the end of each burst, always to the same nodes, which then take sound endpoints for full.
BOOST_AUTO_TEST_CASE(the_end_of_a_broadcast_to_a_large_fleet_is_lost)
{
    constexpr double LinkBytesPerSecond = 1'250'000;
    constexpr double LinkQueueBytes = 32'768;
    BroadcastQueue queue(Limit);
    for (int message = 0; message < 20; ++message) {
        BOOST_REQUIRE(queue.add(broadcast(290)));
    }
    std::map<std::uint16_t, int> received;
    double queued = 0;
    double bytes = 0;
    TimePoint now = Start;
    for (; queue.hasPending(); now += Step) {
        queued = std::max(0.0, queued - LinkBytesPerSecond * std::chrono::duration<double>(Step).count());
        for (const OutgoingDatagram &due : queue.take(now)) {
            ++received[due.node.port()];
            queued += 128;
            bytes += 128;
        }
        BOOST_REQUIRE_LE(queued, LinkQueueBytes / 4);
    }
    BOOST_CHECK_EQUAL(received.size(), 290);
    for (const auto &[node, count] : received) {
        BOOST_CHECK_EQUAL(count, 20);
    }
    const double seconds = std::chrono::duration<double>(now - Start).count();
    BOOST_CHECK_LE(bytes, Limit.value * seconds + 6'200);
}

BOOST_AUTO_TEST_CASE(a_broadcast_to_a_small_fleet_leaves_at_once)
{
    BroadcastQueue queue(Limit);
    BOOST_REQUIRE(queue.add(broadcast(12)));
    BOOST_CHECK_EQUAL(queue.take(Start).size(), 12);
    BOOST_CHECK(!queue.hasPending());
}

BOOST_AUTO_TEST_CASE(without_a_limit_nothing_is_held_back)
{
    BroadcastQueue queue(Bandwidth{0});
    BOOST_REQUIRE(queue.add(broadcast(1'000)));
    BOOST_REQUIRE(queue.add(broadcast(0)));
    BOOST_CHECK_EQUAL(queue.take(Start).size(), 1'000);
    BOOST_CHECK(!queue.hasPending());
}

BOOST_AUTO_TEST_CASE(pending_broadcasts_are_bounded)
{
    BroadcastQueue queue(Limit);
    int taken = 0;
    while (taken < 1'000 && queue.add(broadcast(290))) {
        ++taken;
    }
    BOOST_CHECK_EQUAL(taken, 100);
}
