// fake_engine: a fake model engine for tests and measurements.
#include "engine.h"

#include "hemlockhill/failure.h"

#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <csignal>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace
{

using namespace Hemlockhill;
namespace options = boost::program_options;

// Parses MODEL:VERSION:SIZE, such as "scribe:v1:12GB".
LoadedModel parsePreload(const std::string &text)
{
    std::istringstream stream(text);
    std::string model;
    std::string version;
    std::string bytes;
    std::getline(stream, model, ':');
    std::getline(stream, version, ':');
    std::getline(stream, bytes);
    const auto size = parseBytes(bytes);
    if (model.empty() || version.empty() || !size) {
        throw options::error("--preload must be MODEL:VERSION:SIZE");
    }
    return {ModelId{model}, VersionId{version}, *size};
}

template<typename Value>
void assign(const options::variables_map &values, const char *name, Value &target, std::optional<Value> (*parse)(std::string_view))
{
    if (values.count(name) == 0) {
        return;
    }
    const auto parsed = parse(values[name].as<std::string>());
    if (!parsed) {
        throw options::error("--" + std::string(name) + " has a malformed value");
    }
    target = *parsed;
}

Fakes::EngineOptions parseOptions(int argc, char **argv)
{
    options::options_description description;
    const auto text = [] { return options::value<std::string>(); };
    description.add_options()("listen", text()->required())("memory", text())("fencing", text())("first-token", text())(
        "between-tokens", text())("report-lag", text())("load-time", text())("prefill-per-block", text())("cache-blocks",
                                                                                                          options::value<std::size_t>())(
        "batch", options::value<std::uint32_t>())("preload", options::value<std::vector<std::string>>()->composing());
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    Fakes::EngineOptions engine;
    assign<Address>(values, "listen", engine.listen, parseAddress);
    assign<Bytes>(values, "memory", engine.memory, parseBytes);
    assign<FencingMode>(values, "fencing", engine.fencing, parseFencingMode);
    assign<Duration>(values, "first-token", engine.firstToken, parseDuration);
    assign<Duration>(values, "between-tokens", engine.betweenTokens, parseDuration);
    assign<Duration>(values, "report-lag", engine.reportLag, parseDuration);
    assign<Duration>(values, "load-time", engine.loadTime, parseDuration);
    assign<Duration>(values, "prefill-per-block", engine.prefillPerBlock, parseDuration);
    if (values.count("cache-blocks") > 0) {
        engine.cacheBlocks = values["cache-blocks"].as<std::size_t>();
    }
    if (values.count("batch") > 0) {
        engine.batchLimit = values["batch"].as<std::uint32_t>();
    }
    if (values.count("preload") > 0) {
        for (const std::string &preload : values["preload"].as<std::vector<std::string>>()) {
            engine.preloaded.push_back(parsePreload(preload));
        }
    }
    return engine;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        boost::asio::io_context loop;
        Fakes::Engine engine(loop, parseOptions(argc, argv));
        boost::asio::signal_set signals(loop, SIGTERM, SIGINT);
        signals.async_wait([&engine](const boost::system::error_code &error, int) {
            if (!error) {
                engine.drain();
            }
        });
        loop.run();
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "fake_engine: " << error.what() << '\n';
        return 2;
    }
}
