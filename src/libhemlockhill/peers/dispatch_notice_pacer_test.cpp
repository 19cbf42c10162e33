// Tests the bandwidth limit of dispatch notices.
#include "hemlockhill/dispatch_notice_pacer.h"

#include <boost/test/unit_test.hpp>

using namespace Hemlockhill;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::seconds(100);
constexpr Duration Step = std::chrono::milliseconds(5);
constexpr double LinkBytesPerSecond = 1'250'000;
constexpr std::size_t Nodes = 75;
constexpr std::size_t Endpoints = 140;

DispatchNotice notice(std::size_t endpoint, std::uint64_t prompt, std::uint32_t inFlight, bool rejected = false)
{
    return {EndpointId{"e" + std::to_string(endpoint)}, TokenCount{prompt}, inFlight, rejected};
}

std::vector<VmId> nodes(std::size_t count)
{
    std::vector<VmId> list;
    for (std::size_t index = 0; index < count; ++index) {
        list.push_back(VmId{"n" + std::to_string(index)});
    }
    return list;
}

} // namespace

// Guards against a node that gets the callers of a whole data centre and fills its link with notices, behind which requests wait for
// seconds, so that they reach endpoints after their callers have left.
BOOST_AUTO_TEST_CASE(notices_of_a_busy_node_fill_its_link)
{
    DispatchNoticePacer pacer(Bandwidth{0.5 * LinkBytesPerSecond});
    std::map<EndpointId, std::uint64_t> prompts;
    std::map<EndpointId, std::uint32_t> inFlight;
    std::map<EndpointId, TimePoint> pendingSince;
    std::size_t sent = 0;
    Duration longest{0};
    const auto deliver = [&](TimePoint now) {
        for (const AddressedNotice &addressed : pacer.take(now)) {
            const DispatchNotice &due = addressed.notice;
            sent += addressed.nodes.size();
            prompts[due.endpoint] += due.prompt.value;
            inFlight[due.endpoint] = due.inFlight;
            longest = std::max(longest, std::chrono::duration_cast<Duration>(now - pendingSince.at(due.endpoint)));
            pendingSince.erase(due.endpoint);
        }
    };
    TimePoint now = Start;
    std::size_t added = 0;
    // 200 notices a second to 75 nodes, each of 130 bytes, are more than the link bears.
    for (; now < Start + std::chrono::seconds(10); now += Step) {
        const DispatchNotice next = notice(added % Endpoints, 10, static_cast<std::uint32_t>(added / Endpoints));
        pacer.add(next, nodes(Nodes));
        pendingSince.try_emplace(next.endpoint, now);
        ++added;
        deliver(now);
    }
    const double bytes = static_cast<double>(sent) * 130;
    BOOST_CHECK_LE(bytes, 0.5 * LinkBytesPerSecond * 10.5);
    BOOST_CHECK(longest < std::chrono::seconds(6));
    for (; pacer.hasPending(); now += Step) {
        deliver(now);
    }
    // Nothing is lost by merging.
    std::uint64_t total = 0;
    for (const auto &[endpoint, prompt] : prompts) {
        total += prompt;
        BOOST_CHECK_GE(inFlight[endpoint], (added - 1) / Endpoints - 1);
    }
    BOOST_CHECK_EQUAL(total, 10 * added);
}

BOOST_AUTO_TEST_CASE(notices_below_the_limit_are_sent_at_once)
{
    DispatchNoticePacer pacer(Bandwidth{0.5 * LinkBytesPerSecond});
    for (TimePoint now = Start; now < Start + std::chrono::seconds(5); now += 5 * Step) {
        pacer.add(notice(1, 7, 1, true), nodes(8));
        const auto due = pacer.take(now);
        BOOST_REQUIRE_EQUAL(due.size(), 1);
        BOOST_CHECK(due.front().notice == notice(1, 7, 1, true));
        BOOST_CHECK_EQUAL(due.front().nodes.size(), 8);
    }
    DispatchNoticePacer unlimited(Bandwidth{0});
    for (std::size_t index = 0; index < 1000; ++index) {
        unlimited.add(notice(index, 1, 1), nodes(350));
    }
    BOOST_CHECK_EQUAL(unlimited.take(Start).size(), 1000);
}
