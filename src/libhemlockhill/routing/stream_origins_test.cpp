// Tests how nodes remember and look up the origins of streams, over a simulated network that loses, delays and repeats messages.
#include "hemlockhill/stream_origins.h"

#include "hemlockhill/rendezvous.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <queue>

using namespace Hemlockhill;
using namespace std::chrono_literals;

namespace
{

const TimePoint Start{1h};
const SoftwareVersion First{"v1"};
const SoftwareVersion Second{"v2"};

// Nodes that exchange messages in virtual time.
class Fleet
{
public:
    explicit Fleet(std::size_t size, std::uint32_t seed = 1, StreamOriginLimits limits = {})
        : m_limits(limits)
        , m_random(seed)
    {
        for (std::size_t number = 0; number < size; ++number) {
            nodes.push_back(VmId{"10.0.0." + std::to_string(number + 1)});
        }
        for (const VmId &node : nodes) {
            restart(node);
        }
    }

    std::vector<VmId> nodes;
    int lossPercent = 0;
    int repeatPercent = 0;
    std::int64_t maximumDelayMs = 1;
    std::set<VmId> dead;
    TimePoint now = Start;
    std::uint64_t messages = 0;
    Metrics metrics;

    bool chance(int percent) { return pick(0, 99) < percent; }
    std::int64_t pick(std::int64_t from, std::int64_t to)
    {
        return boost::random::uniform_int_distribution<std::int64_t>(from, to)(m_random);
    }
    const VmId &anyNode() { return nodes[static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(nodes.size()) - 1))]; }
    StreamOrigins &at(const VmId &node) { return *m_origins.at(node); }

    // Starts a node without any knowledge.
    void restart(const VmId &node)
    {
        m_origins[node] = std::make_unique<StreamOrigins>(
            node, m_limits, metrics, [this, node](const VmId &to, const StreamOriginMessage &message) { send(node, to, message); });
        at(node).setNodes(nodes);
        dead.erase(node);
    }

    void kill(const VmId &node) { dead.insert(node); }
    void begin(const VmId &node, const RequestId &request, const SoftwareVersion &version)
    {
        at(node).onStreamBegun({request, version}, now);
    }

    // Delivers messages and lets timeouts expire.
    void run(Duration duration)
    {
        const TimePoint end = now + duration;
        while (now < end) {
            now += 1ms;
            while (!m_inTransit.empty() && m_inTransit.top().at <= now) {
                const Message message = m_inTransit.top();
                m_inTransit.pop();
                if (!dead.contains(message.to)) {
                    at(message.to).onMessage(message.from, message.content, now);
                }
            }
            for (const VmId &node : nodes) {
                at(node).tick(now);
            }
        }
    }

    OriginLookupResult find(const VmId &node, const RequestId &request)
    {
        std::optional<OriginLookupResult> found;
        at(node).find(
            request, [&found](const OriginLookupResult &result) { found = result; }, now);
        run(2 * m_limits.answerTimeout + 10ms);
        BOOST_REQUIRE(found);
        return *found;
    }

private:
    struct Message {
        TimePoint at;
        std::uint64_t order = 0;
        VmId from;
        VmId to;
        StreamOriginMessage content;

        bool operator<(const Message &other) const { return std::pair(other.at, other.order) < std::pair(at, order); }
    };

    void send(const VmId &from, const VmId &to, const StreamOriginMessage &content)
    {
        for (int copies = chance(repeatPercent) ? 2 : 1; copies > 0; --copies) {
            ++messages;
            if (!chance(lossPercent)) {
                m_inTransit.push({now + std::chrono::milliseconds(pick(1, maximumDelayMs)), messages, from, to, content});
            }
        }
    }

    StreamOriginLimits m_limits;
    boost::random::mt19937 m_random;
    std::map<VmId, std::unique_ptr<StreamOrigins>> m_origins;
    std::priority_queue<Message> m_inTransit;
};

const RequestId Request{"9c41d07be2a35f68"};

} // namespace

// Guards against streams that cannot be resumed because the node that began them died.
BOOST_AUTO_TEST_CASE(origin_is_lost_with_the_node_that_began_the_stream)
{
    Fleet fleet(350);
    fleet.begin(fleet.nodes[7], Request, First);
    fleet.run(10ms);
    BOOST_CHECK_EQUAL(fleet.messages, 3);
    fleet.kill(fleet.nodes[7]);
    for (const VmId &node : {fleet.nodes[0], fleet.nodes[100], fleet.nodes[349]}) {
        BOOST_CHECK_EQUAL(fleet.find(node, Request).version, First);
    }
    // Three queries and their answers at most, and one to the dead node.
    BOOST_CHECK_LE(fleet.messages, 3 + 3 * 8);
}

// Guards against streams that cannot be resumed because owners died with the node that began them.
BOOST_AUTO_TEST_CASE(origin_is_lost_with_all_owners_but_one)
{
    Fleet fleet(9);
    fleet.begin(fleet.nodes[3], Request, Second);
    fleet.run(10ms);
    std::vector<VmId> others = fleet.nodes;
    std::erase(others, fleet.nodes[3]);
    const std::vector<VmId> ranked = rankNodes(Request.value, others);
    for (const VmId &node : {fleet.nodes[3], ranked[0], ranked[2]}) {
        fleet.kill(node);
    }
    const OriginLookupResult found = fleet.find(ranked[5], Request);
    BOOST_CHECK_EQUAL(found.version, Second);
    BOOST_CHECK(found.source == OriginSource::OtherNode);
    // The caller comes back a third time, still naming the first request.
    BOOST_CHECK(fleet.find(ranked[5], Request).source == OriginSource::OwnMemory);
}

// Guards against a lookup that fails because it is faster than the notice to the owners.
BOOST_AUTO_TEST_CASE(resumption_overtakes_the_notice)
{
    Fleet fleet(9);
    fleet.maximumDelayMs = 60;
    for (int number = 0; number < 200; ++number) {
        const RequestId request{"r" + std::to_string(number)};
        fleet.begin(fleet.nodes[1], request, First);
        BOOST_CHECK_EQUAL(fleet.find(fleet.nodes[2], request).version, First);
    }
}

// Guards against a lost datagram that makes a stream unknown.
BOOST_AUTO_TEST_CASE(lost_datagrams_make_streams_unknown)
{
    Fleet fleet(9);
    fleet.lossPercent = 20;
    int unknown = 0;
    for (int number = 0; number < 1000; ++number) {
        const RequestId request{"r" + std::to_string(number)};
        fleet.begin(fleet.anyNode(), request, First);
        fleet.run(5ms);
        unknown += fleet.find(fleet.anyNode(), request).version.empty() ? 1 : 0;
    }
    BOOST_CHECK_LE(unknown, 10);
}

BOOST_AUTO_TEST_CASE(unknown_stream_is_reported_once_all_answers_are_in)
{
    Fleet fleet(9);
    bool isFound = false;
    fleet.at(fleet.nodes[0])
        .find(
            Request, [&isFound](const OriginLookupResult &result) { isFound = result.version.empty(); }, fleet.now);
    fleet.run(6ms);
    BOOST_CHECK(isFound);
    BOOST_CHECK(!fleet.at(fleet.nodes[0]).isLookingUp());
}

// Guards against a node that joins or leaves and so hides the owners that know a stream.
BOOST_AUTO_TEST_CASE(owners_change_when_a_node_joins)
{
    Fleet fleet(40);
    const VmId joined{"10.0.1.1"};
    std::vector<VmId> grown = fleet.nodes;
    grown.push_back(joined);
    for (int number = 0; number < 100; ++number) {
        const RequestId request{"r" + std::to_string(number)};
        std::vector<VmId> ranked = rankNodes(request.value, grown);
        std::erase(ranked, joined);
        BOOST_CHECK(ranked == rankNodes(request.value, fleet.nodes));
    }
}

BOOST_AUTO_TEST_CASE(origins_are_bounded_by_count_and_age)
{
    StreamOriginLimits limits;
    limits.origins = 100;
    Fleet fleet(1, 1, limits);
    StreamOrigins &origins = fleet.at(fleet.nodes[0]);
    for (int number = 0; number < 250; ++number) {
        fleet.begin(fleet.nodes[0], RequestId{"r" + std::to_string(number)}, First);
    }
    BOOST_CHECK_EQUAL(origins.size(), 100);
    BOOST_CHECK(fleet.metrics.exposition().find("event=\"stream_origin_dropped\"} 150") != std::string::npos);
    BOOST_CHECK(fleet.find(fleet.nodes[0], RequestId{"r149"}).version.empty());
    BOOST_CHECK_EQUAL(fleet.find(fleet.nodes[0], RequestId{"r150"}).version, First);
    fleet.now += limits.retention;
    BOOST_CHECK(fleet.find(fleet.nodes[0], RequestId{"r249"}).version.empty());
    BOOST_CHECK_EQUAL(origins.size(), 0);
}

BOOST_AUTO_TEST_CASE(lookups_are_bounded)
{
    StreamOriginLimits limits;
    limits.lookups = 10;
    Fleet fleet(9, 1, limits);
    int unknown = 0;
    for (int number = 0; number < 25; ++number) {
        fleet.at(fleet.nodes[0])
            .find(
                RequestId{"r" + std::to_string(number)}, [&unknown](const OriginLookupResult &) { ++unknown; }, fleet.now);
    }
    BOOST_CHECK_EQUAL(unknown, 15);
    fleet.run(300ms);
    BOOST_CHECK_EQUAL(unknown, 25);
}

// Whatever is lost, late or repeated, and whichever nodes die, a lookup gives the version that began the stream or none.
BOOST_AUTO_TEST_CASE(lookups_never_give_another_version)
{
    constexpr int Steps = 100'000;
    Fleet fleet(9, 20'261'204);
    fleet.lossPercent = 10;
    fleet.repeatPercent = 10;
    fleet.maximumDelayMs = 150;
    std::vector<std::pair<RequestId, SoftwareVersion>> begun;
    int found = 0;
    int unknown = 0;
    for (int step = 0; step < Steps; ++step) {
        const VmId node = fleet.anyNode();
        const std::int64_t action = fleet.pick(0, 999);
        if (action < 4) {
            fleet.restart(node);
        } else if (action < 5) {
            fleet.kill(node);
        } else if (action < 500 || begun.empty()) {
            begun.emplace_back(RequestId{"r" + std::to_string(step)}, fleet.chance(50) ? First : Second);
            if (!fleet.dead.contains(node)) {
                fleet.begin(node, begun.back().first, begun.back().second);
            }
        } else {
            const auto newest = static_cast<std::int64_t>(begun.size()) - 1;
            const auto &[request, version] = begun[static_cast<std::size_t>(fleet.pick(std::max<std::int64_t>(0, newest - 50), newest))];
            fleet.at(node).find(
                request,
                [&found, &unknown, expected = version](const OriginLookupResult &result) {
                    ++(result.version.empty() ? unknown : found);
                    BOOST_REQUIRE(result.version.empty() || result.version == expected);
                },
                fleet.now);
        }
        fleet.run(1ms);
    }
    BOOST_TEST_MESSAGE("found " << found << ", unknown " << unknown);
    BOOST_CHECK_GE(found, Steps / 10);
}

// Guards against callers whose long request ids fill a node's memory, since origins are bounded by count.
BOOST_AUTO_TEST_CASE(long_request_ids_are_kept_and_sent)
{
    Fleet fleet(9);
    const RequestId longId{std::string(30'000, 'x')};
    fleet.begin(fleet.nodes[0], longId, First);
    fleet.begin(fleet.nodes[0], Request, SoftwareVersion{longId.value});
    BOOST_CHECK_EQUAL(fleet.at(fleet.nodes[0]).size(), 0);
    BOOST_CHECK(fleet.find(fleet.nodes[1], longId).version.empty());
    BOOST_CHECK_EQUAL(fleet.messages, 0);
}
