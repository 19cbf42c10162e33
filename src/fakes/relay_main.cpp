// fake_relay: a TCP relay that injects network faults between two processes of a session.
// It forwards connections from --listen to --to. HTTP requests to --control set its mode:
//   POST /forward        forward all bytes; connections that were silenced stay silent
//   POST /delay?ms=N     forward all bytes N milliseconds late
//   POST /silence        silence the open connections permanently; new ones work
//   POST /silence-all    discard all bytes in both directions, on every connection
//   POST /cut-requests   discard bytes sent to --to
//   POST /cut-answers    discard bytes received from --to
//   POST /drop           close open connections, and new ones as they are accepted
//   GET /connections     return the number of open connections
#include "hemlockhill/failure.h"
#include "hemlockhill/http_server.h"
#include "hemlockhill/world.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/program_options.hpp>

#include <array>
#include <csignal>
#include <cstdlib>
#include <deque>
#include <iostream>
#include <memory>
#include <set>
#include <string>

namespace
{

using namespace Hemlockhill;
using boost::asio::ip::tcp;
using boost::system::error_code;
namespace options = boost::program_options;

// How the relay treats connections and the bytes on them.
struct ForwardingMode {
    bool forwardRequests = true;
    bool forwardAnswers = true;
    bool accept = true;
    Duration delay{0};
};

class Link;
using Links = std::set<std::shared_ptr<Link>>;

// A relayed connection.
class Link : public std::enable_shared_from_this<Link>
{
public:
    Link(boost::asio::io_context &loop, tcp::socket client, const ForwardingMode &mode, Links &links)
        : m_loop(loop)
        , m_mode(mode)
        , m_links(links)
        , m_requests{std::move(client)}
        , m_answers{tcp::socket(loop)}
    {
    }

    void start(const tcp::endpoint &target)
    {
        m_answers.from.async_connect(target, [self = shared_from_this()](error_code error) {
            if (error) {
                self->close();
                return;
            }
            self->read(self->m_requests, self->m_answers.from);
            self->read(self->m_answers, self->m_requests.from);
        });
    }

    void silence() { m_silent = true; }

    void close()
    {
        error_code ignored;
        m_requests.from.close(ignored);
        m_answers.from.close(ignored);
        m_links.erase(shared_from_this());
    }

private:
    // One direction of a connection, with the socket that bytes are read from.
    struct Direction {
        tcp::socket from;
        std::array<char, 16'384> buffer{};
    };

    bool forwards(const Direction &direction) const
    {
        return !m_silent && (&direction == &m_requests ? m_mode.forwardRequests : m_mode.forwardAnswers);
    }

    void read(Direction &direction, tcp::socket &to)
    {
        direction.from.async_read_some(boost::asio::buffer(direction.buffer),
                                       [self = shared_from_this(), &direction, &to](error_code error, std::size_t bytes) {
                                           if (error) {
                                               self->onClosed();
                                           } else {
                                               self->forwardAfterDelay(direction, to, bytes);
                                           }
                                       });
    }

    void forwardAfterDelay(Direction &direction, tcp::socket &to, std::size_t bytes)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_mode.delay);
        timer->async_wait([self = shared_from_this(), timer, &direction, &to, bytes](error_code) { self->forward(direction, to, bytes); });
    }

    void forward(Direction &direction, tcp::socket &to, std::size_t bytes)
    {
        if (!forwards(direction)) {
            read(direction, to);
            return;
        }
        boost::asio::async_write(to,
                                 boost::asio::buffer(direction.buffer.data(), bytes),
                                 [self = shared_from_this(), &direction, &to](error_code error, std::size_t) {
                                     if (error) {
                                         self->onClosed();
                                     } else {
                                         self->read(direction, to);
                                     }
                                 });
    }

    // A connection that does not forward both directions does not propagate a close either.
    void onClosed()
    {
        if (!m_silent && m_mode.forwardRequests && m_mode.forwardAnswers) {
            close();
        }
    }

    boost::asio::io_context &m_loop;
    const ForwardingMode &m_mode;
    Links &m_links;
    Direction m_requests;
    Direction m_answers;
    bool m_silent = false;
};

tcp::endpoint endpointOf(const Address &address)
{
    return {boost::asio::ip::make_address(address.host), address.port};
}

class Relay
{
public:
    Relay(boost::asio::io_context &loop, const Address &listen, const Address &target, const Address &control)
        : m_loop(loop)
        , m_target(endpointOf(target))
        , m_acceptor(loop, endpointOf(listen))
        , m_control(
              loop,
              control,
              HttpServerLimits{},
              [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                  onControlRequest(request, *responder);
              },
              [](Reason) {})
    {
        accept();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](error_code error, tcp::socket client) {
            if (!error && m_mode.accept) {
                const auto link = std::make_shared<Link>(m_loop, std::move(client), m_mode, m_links);
                m_links.insert(link);
                link->start(m_target);
            }
            accept();
        });
    }

    void onControlRequest(const HttpRequest &request, HttpResponder &responder)
    {
        const std::string_view path = request.path();
        if (path == "/connections") {
            responder.answer(HttpResponse{200, "text/plain", {}, std::to_string(m_links.size()) + "\n"});
            return;
        }
        const bool known = request.method == "POST" && applyCommand(path, request.target);
        responder.answer(HttpResponse{known ? 200U : 404U, "text/plain", {}, known ? "ok\n" : "unknown relay command\n"});
    }

    bool applyCommand(std::string_view path, const std::string &target)
    {
        if (path == "/silence") {
            for (const auto &link : m_links) {
                link->silence();
            }
            return true;
        }
        ForwardingMode mode;
        if (path == "/delay") {
            const std::size_t value = target.find("?ms=");
            mode.delay = std::chrono::milliseconds(value == std::string::npos ? 0 : std::atol(target.c_str() + value + 4));
        } else if (path == "/silence-all") {
            mode.forwardRequests = false;
            mode.forwardAnswers = false;
        } else if (path == "/cut-requests") {
            mode.forwardRequests = false;
        } else if (path == "/cut-answers") {
            mode.forwardAnswers = false;
        } else if (path == "/drop") {
            mode.accept = false;
            dropAll();
        } else if (path != "/forward") {
            return false;
        }
        m_mode = mode;
        return true;
    }

    void dropAll()
    {
        const Links open = m_links;
        for (const auto &link : open) {
            link->close();
        }
    }

    boost::asio::io_context &m_loop;
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    ForwardingMode m_mode;
    Links m_links;
    HttpServer m_control;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        std::string listen;
        std::string target;
        std::string control;
        options::options_description description;
        description.add_options()("listen", options::value(&listen)->required())("to", options::value(&target)->required())(
            "control", options::value(&control)->required());
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        const auto listenAt = parseAddress(listen);
        const auto forwardTo = parseAddress(target);
        const auto controlAt = parseAddress(control);
        if (!listenAt || !forwardTo || !controlAt) {
            std::cerr << "fake_relay: --listen, --to and --control must be HOST:PORT\n";
            return 2;
        }
        boost::asio::io_context loop;
        const Relay relay(loop, *listenAt, *forwardTo, *controlAt);
        boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
        signals.async_wait([&loop](const error_code &, int) { loop.stop(); });
        loop.run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "fake_relay: " << error.what() << '\n';
        return 2;
    }
}
