// fake_service: a fake plain service for tests that counts how often each call ran.
#include "hemlockhill/failure.h"
#include "hemlockhill/http_server.h"
#include "hemlockhill/world.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>

namespace
{

using namespace Hemlockhill;
namespace options = boost::program_options;
namespace json = boost::json;

// Runs a call for a request on any path and answers after the delay. GET /runs returns the number of runs of each request body.
// The journal, with one body per line, preserves the counts when the service is killed and restarted.
class CountingService
{
public:
    CountingService(boost::asio::io_context &loop, const Address &listen, Duration delay, const std::string &journal)
        : m_loop(loop)
        , m_delay(delay)
        , m_server(
              loop,
              listen,
              HttpServerLimits{},
              [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) { onRequest(request, responder); },
              [](Reason) {})
    {
        if (journal.empty()) {
            return;
        }
        std::ifstream previousRuns(journal);
        for (std::string body; std::getline(previousRuns, body);) {
            ++m_runs[body];
        }
        m_journal.open(journal, std::ios::app);
    }

    void stop() { m_server.stopAccepting(); }

private:
    void onRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
    {
        if (request.path() == "/runs") {
            json::object runs;
            for (const auto &[body, count] : m_runs) {
                runs[body] = count;
            }
            responder->answer(HttpResponse{200, "application/json", {}, json::serialize(runs)});
            return;
        }
        const std::uint64_t run = ++m_runs[request.body];
        if (m_journal.is_open()) {
            m_journal << request.body << std::endl;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_delay);
        timer->async_wait([timer, responder, run, path = request.target](const boost::system::error_code &) {
            responder->answer(HttpResponse{200, "application/json", {}, json::serialize(json::object{{"path", path}, {"run", run}})});
        });
    }

    boost::asio::io_context &m_loop;
    Duration m_delay;
    HttpServer m_server;
    std::map<std::string, std::uint64_t> m_runs;
    std::ofstream m_journal;
};

} // namespace

int main(int argc, char **argv)
{
    try {
        std::string listen;
        std::string delay;
        std::string journal;
        options::options_description description;
        description.add_options()("listen", options::value(&listen)->required())("delay", options::value(&delay)->default_value("5ms"))(
            "journal", options::value(&journal));
        options::variables_map values;
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
        const auto address = parseAddress(listen);
        const auto parsedDelay = parseDuration(delay);
        if (!address || !parsedDelay) {
            std::cerr << "fake_service: --listen must be HOST:PORT and --delay a duration\n";
            return 2;
        }
        boost::asio::io_context loop;
        CountingService service(loop, *address, *parsedDelay, journal);
        boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
        signals.async_wait([&service](const boost::system::error_code &, int) { service.stop(); });
        loop.run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "fake_service: " << error.what() << '\n';
        return 2;
    }
}
