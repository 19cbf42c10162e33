// A follower stays in touch with the leader when events between its threads are lost.
#include "hemlockhill/group_member.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <thread>
#include <unistd.h>

using namespace Hemlockhill;

namespace
{

constexpr std::uint16_t PeerPort = 7471;
// Twice the time after which a machine counts as in touch again.
constexpr Duration ContactTime = std::chrono::seconds(6);
// Time in which a node answers, which is less than the interval of the search.
constexpr Duration ShortWait = std::chrono::milliseconds(50);
// More than the interval of the search, less than the time after which a call fails.
constexpr Duration LongWait = std::chrono::milliseconds(300);
constexpr Duration FillLimit = std::chrono::seconds(20);
// The timers of a follower that searches: the search itself, and the check of its calls.
constexpr int FollowerTimers = 2;
constexpr int BatchesInFlight = 16;

// A loopback address of this process alone.
VmId loopback(int host)
{
    const auto process = static_cast<unsigned>(::getpid());
    return VmId{"127." + std::to_string(20 + process / 250 % 200) + "." + std::to_string(1 + process % 250) + "." + std::to_string(host)};
}

Settings settingsOf(const VmId &vm, const VmId &other, bool isOtherController)
{
    Settings settings;
    settings.cluster = ClusterId{"test"};
    settings.vm = vm;
    settings.peers.listen = Address{vm.value, PeerPort};
    settings.peers.others = {PeerSettings{other, {}, Address{other.value, PeerPort}, isOtherController}};
    return settings;
}

// A controller that answers each follow call at once.
class Answerer
{
public:
    Answerer(const VmId &vm, const VmId &follower)
        : m_follower(follower)
        , m_peers(settingsOf(vm, follower, false), m_metrics, [this](const PeerEvent &event) { return answer(event); })
    {
        m_peers.start();
    }
    ~Answerer() { m_peers.stop(); }
    Answerer(const Answerer &) = delete;
    Answerer &operator=(const Answerer &) = delete;

    void setLeading(bool isLeading) { m_isLeading = isLeading; }
    std::size_t followCalls() const { return m_followCalls; }
    // Sends the follower messages that it ignores.
    void sendBatches()
    {
        for (int sent = 0; sent < BatchesInFlight; ++sent) {
            m_peers.post(StartCall{CallId{1}, m_follower, ConsensusBatch{}});
        }
    }

private:
    bool answer(const PeerEvent &event)
    {
        const auto *call = std::get_if<IncomingCall>(&event);
        if (call != nullptr && std::holds_alternative<FollowRequest>(call->request)) {
            FollowReply reply;
            reply.leading = m_isLeading;
            m_peers.post(AnswerCall{call->incoming, reply});
            ++m_followCalls;
        }
        return true;
    }

    Metrics m_metrics;
    VmId m_follower;
    std::atomic<bool> m_isLeading{false};
    std::atomic<std::size_t> m_followCalls{0};
    PeerThread m_peers;
};

struct Follower {
    explicit Follower(const VmId &vm, const VmId &leader)
        : member(loop, settingsOf(vm, leader, true), timers, metrics, hooks())
    {
        member.start();
    }

    static GroupMemberHooks hooks()
    {
        GroupMemberHooks hooks;
        hooks.collectFigures = [] { return std::string(); };
        hooks.followersChanged = [](const std::vector<VmId> &) {};
        hooks.deploymentConfirmed = [](BootTimePoint) {};
        return hooks;
    }

    // Runs the follower until the condition holds, at most for this time.
    template<typename Condition>
    bool runUntil(Duration limit, Condition condition)
    {
        const TimePoint end = currentTime() + limit;
        while (!condition() && currentTime() < end) {
            loop.restart();
            loop.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    boost::asio::io_context loop;
    TimerService timers;
    Metrics metrics;
    GroupMember member;
};

template<typename Condition>
bool waitUntil(Condition condition)
{
    const TimePoint end = currentTime() + FillLimit;
    while (!condition() && currentTime() < end) {
        std::this_thread::sleep_for(std::chrono::microseconds(500));
    }
    return condition();
}

} // namespace

// Guards against a follower that waits for ever for a call whose outcome was dropped, and obeys an old configuration from then on.
BOOST_AUTO_TEST_CASE(follower_whose_call_has_lost_its_outcome_never_follows_again)
{
    const VmId leaderVm = loopback(1);
    const VmId followerVm = loopback(2);
    Answerer leader(leaderVm, followerVm);
    Follower follower(followerVm, leaderVm);
    BOOST_REQUIRE(follower.runUntil(ContactTime, [&] { return leader.followCalls() == 2; }));
    std::this_thread::sleep_for(ShortWait);
    follower.loop.restart();
    follower.loop.poll();
    BOOST_REQUIRE_EQUAL(leader.followCalls(), 2);

    // The follower gets no processor time while its queue fills. Then its timers run first, and it asks again.
    std::this_thread::sleep_for(LongWait);
    BOOST_REQUIRE(waitUntil([&] {
        leader.sendBatches();
        return follower.metrics.exposition().find("peer_event_dropped") != std::string::npos;
    }));
    leader.setLeading(true);
    follower.loop.restart();
    for (int timer = 0; timer < FollowerTimers && leader.followCalls() == 2; ++timer) {
        follower.loop.run_one();
        std::this_thread::sleep_for(ShortWait);
    }
    BOOST_REQUIRE_EQUAL(leader.followCalls(), 3);
    std::this_thread::sleep_for(LongWait);

    BOOST_CHECK(follower.runUntil(ContactTime, [&] { return follower.member.leader() == leaderVm; }));
    const std::size_t callsBefore = leader.followCalls();
    BOOST_CHECK(follower.runUntil(ContactTime, [&] { return leader.followCalls() > callsBefore; }));
}
