// Calls between the peer threads of two nodes.
#include "hemlockhill/peer_thread.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <condition_variable>
#include <fcntl.h>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <tuple>
#include <unistd.h>

using namespace Hemlockhill;
using namespace std::chrono_literals;

namespace
{

const VmId Caller{"127.0.0.1"};
const VmId Callee{"127.0.0.2"};
constexpr std::uint16_t Port = 7421;
// Longer than a call, a new connection and the delay before it.
constexpr std::chrono::seconds AnswerTimeout(5);
// Descriptors left to the process before the test uses them up.
constexpr rlim_t DescriptorLimit = 128;
// Connections that a peer accepts.
constexpr std::uint32_t ConnectionLimit = 8;

Settings settingsOf(const VmId &vm)
{
    Settings settings;
    settings.cluster = ClusterId{"peers"};
    settings.vm = vm;
    settings.peers.listen = Address{vm.value, Port};
    settings.peers.openMembership = true;
    settings.peers.connectionLimit = ConnectionLimit;
    return settings;
}

// A peer thread that answers each identity request, and records what becomes of its own.
class TestPeer
{
public:
    explicit TestPeer(const VmId &vm)
        : m_thread(settingsOf(vm), m_metrics, [this](PeerEvent event) { return receive(std::move(event)); })
    {
        m_thread.start();
    }

    // Must be called before calls to the peer.
    void know(const VmId &vm) { m_thread.post(AddPeer{{vm, {}, Address{vm.value, Port}, true}}); }

    // Repeats the call until it is answered. Returns whether that happened in time.
    bool reaches(const VmId &vm)
    {
        const auto end = std::chrono::steady_clock::now() + AnswerTimeout;
        std::unique_lock lock(m_mutex);
        m_answers = 0;
        while (m_answers == 0 && std::chrono::steady_clock::now() < end) {
            m_thread.post(StartCall{CallId{++m_lastCall}, vm, IdentityRequest{}});
            m_changed.wait_for(lock, 50ms);
        }
        return m_answers > 0;
    }

private:
    bool receive(PeerEvent &&event)
    {
        if (const auto *incoming = std::get_if<IncomingCall>(&event)) {
            return m_thread.post(AnswerCall{incoming->incoming, IdentityReply{}});
        }
        const std::lock_guard lock(m_mutex);
        m_answers += std::holds_alternative<PeerCallAnswered>(event) ? 1 : 0;
        m_changed.notify_all();
        return true;
    }

    Metrics m_metrics;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_lastCall = 0;
    int m_answers = 0;
    PeerThread m_thread;
};

// Opens files until the process has no descriptor left, and closes them again when destroyed.
class UsedUpDescriptors
{
public:
    UsedUpDescriptors()
    {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        const rlimit lower{DescriptorLimit, m_former.rlim_max};
        ::setrlimit(RLIMIT_NOFILE, &lower);
        for (int file = ::dup(STDIN_FILENO); file >= 0; file = ::dup(STDIN_FILENO)) {
            m_files.push_back(file);
        }
    }

    ~UsedUpDescriptors()
    {
        for (const int file : m_files) {
            ::close(file);
        }
        ::setrlimit(RLIMIT_NOFILE, &m_former);
    }

    UsedUpDescriptors(const UsedUpDescriptors &) = delete;
    UsedUpDescriptors &operator=(const UsedUpDescriptors &) = delete;

private:
    rlimit m_former{};
    std::vector<int> m_files;
};

// Returns the port of a socket's own end or of the other end, as one of the two functions names it; 0 if the file is no such socket.
std::uint16_t portOf(int file, decltype(::getsockname) nameOf)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    const bool isNamed = nameOf(file, reinterpret_cast<sockaddr *>(&address), &size) == 0 && address.sin_family == AF_INET;
    return isNamed ? ntohs(address.sin_port) : 0;
}

// Returns the ends of connections between peers that this process holds, accepted ones too.
std::vector<int> peerConnections()
{
    std::vector<int> found;
    for (int file = 0; file < static_cast<int>(DescriptorLimit); ++file) {
        const std::uint16_t remote = portOf(file, ::getpeername);
        if (remote != 0 && (remote == Port || portOf(file, ::getsockname) == Port)) {
            found.push_back(file);
        }
    }
    return found;
}

int optionOf(int file, int level, int name)
{
    int value = 0;
    socklen_t size = sizeof value;
    ::getsockopt(file, level, name, &value, &size);
    return value;
}

// A connection to a peer that sends nothing.
class Stranger
{
public:
    explicit Stranger(const VmId &vm)
        : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(Port);
        ::inet_pton(AF_INET, vm.value.c_str(), &address.sin_addr);
        BOOST_REQUIRE_EQUAL(::connect(m_socket, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
    }
    ~Stranger() { ::close(m_socket); }
    Stranger(const Stranger &) = delete;
    Stranger &operator=(const Stranger &) = delete;

    void send(const std::string &bytes) const { std::ignore = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL); }

    // Returns whether the peer closes the connection in time.
    bool isClosed() const
    {
        pollfd file{m_socket, POLLIN, 0};
        char byte = 0;
        const int timeoutMs = static_cast<int>(std::chrono::milliseconds(AnswerTimeout).count());
        while (::poll(&file, 1, timeoutMs) > 0) {
            if (::recv(m_socket, &byte, 1, 0) <= 0) {
                return true;
            }
        }
        return false;
    }

private:
    int m_socket;
};

} // namespace

// A machine that loses power closes none of its connections.
BOOST_AUTO_TEST_CASE(both_ends_of_a_connection_are_closed_when_the_other_machine_is_gone)
{
    TestPeer callee(Callee);
    TestPeer caller(Caller);
    caller.know(Callee);
    BOOST_REQUIRE(caller.reaches(Callee));
    const std::vector<int> connections = peerConnections();
    BOOST_CHECK_EQUAL(connections.size(), 2);
    for (const int connection : connections) {
        BOOST_CHECK_EQUAL(optionOf(connection, SOL_SOCKET, SO_KEEPALIVE), 1);
        BOOST_CHECK_GT(optionOf(connection, IPPROTO_TCP, TCP_USER_TIMEOUT), 0);
    }
}

BOOST_AUTO_TEST_CASE(node_accepts_peers_again_after_it_was_out_of_descriptors)
{
    TestPeer callee(Callee);
    TestPeer caller(Caller);
    caller.know(Callee);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    BOOST_REQUIRE_GE(socket, 0);
    {
        const UsedUpDescriptors used;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(Port);
        ::inet_pton(AF_INET, Callee.value.c_str(), &address.sin_addr);
        BOOST_REQUIRE_EQUAL(::connect(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address), 0);
        std::this_thread::sleep_for(200ms);
    }
    ::close(socket);
    BOOST_CHECK(caller.reaches(Callee));
}

// Guards against connections without a hello that keep nodes out, or take up descriptors without bound.
BOOST_AUTO_TEST_CASE(strangers_make_room_for_nodes)
{
    TestPeer callee(Callee);
    TestPeer earlier(Caller);
    earlier.know(Callee);
    BOOST_REQUIRE(earlier.reaches(Callee));
    std::vector<std::unique_ptr<Stranger>> strangers;
    for (std::uint32_t number = 0; number < 3 * ConnectionLimit; ++number) {
        strangers.push_back(std::make_unique<Stranger>(Callee));
    }
    BOOST_CHECK(strangers.front()->isClosed());
    TestPeer later(VmId{"127.0.0.3"});
    later.know(Callee);
    BOOST_CHECK(later.reaches(Callee));
    BOOST_CHECK(earlier.reaches(Callee));
}

// Guards against a message that makes the node hold more than a hello takes.
BOOST_AUTO_TEST_CASE(stranger_that_announces_a_long_message_is_disconnected)
{
    TestPeer callee(Callee);
    const Stranger stranger(Callee);
    // One segment of 4,096 words.
    stranger.send(std::string("\0\0\0\0\0\x10\0\0", 8));
    BOOST_CHECK(stranger.isClosed());
}
