// A fake model engine for tests. Its tokens are a deterministic function of the prompt and the offset, so that a client can tell a
// complete answer from a truncated, reordered or repeated one.
#pragma once

#include "hemlockhill/engine_api.h"
#include "hemlockhill/http_server.h"
#include "hemlockhill/world.h"
#include "prefix_cache.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Hemlockhill::Fakes
{

// Command-line options of fake_engine.
struct EngineOptions {
    Address listen;
    Bytes memory{80'000'000'000};
    FencingMode fencing = FencingMode::Checked;
    Duration firstToken = std::chrono::milliseconds(20);
    Duration betweenTokens = std::chrono::milliseconds(5);
    // Interval at which the report is refreshed, and so the maximum age of its values.
    Duration reportLag = std::chrono::milliseconds(300);
    Duration loadTime = std::chrono::milliseconds(700);
    std::uint32_t batchLimit = 16;
    // Added to the first-token delay for each prompt block that misses the prefix cache.
    Duration prefillPerBlock{0};
    std::size_t cacheBlocks = 4096;
    // Delay before a cache event is published.
    Duration cacheEventLag = std::chrono::milliseconds(300);
    std::vector<LoadedModel> preloaded;
};

// Injected faults. POST /fake/mode replaces all of them; members that the request omits are disabled.
struct EngineFaults {
    // Streams stop sending after this number of tokens but stay open.
    std::optional<std::uint64_t> stallAfterTokens;
    // Streams close their connection after this number of tokens.
    std::optional<std::uint64_t> cutAfterTokens;
    // Streams skip the token at this offset.
    std::optional<std::uint64_t> gapAtToken;
    // A resumed stream repeats this number of tokens before the requested offset.
    std::uint64_t repeatOnResume = 0;
    // Streams end without the [DONE] event.
    bool skipEndMarker = false;
    // Added to the first-token delay.
    Duration delay{0};
};

// Counters that GET /fake/stats returns.
struct EngineStatistics {
    std::uint64_t runs = 0;
    std::uint64_t finished = 0;
    // Streams whose caller disconnected.
    std::uint64_t gone = 0;
    std::uint64_t prefixBlocks = 0;
    std::uint64_t prefixHits = 0;
};

// A prompt that contains this text makes the engine process exit with an error.
constexpr std::string_view CrashMarker = "CRASH-ENGINE";

// Returns the token at the given offset of the answer to the prompt.
std::string tokenAt(std::string_view prompt, std::uint64_t offset);

// Serves the engine API (/engine/v1), chat and text completions, and the fault control paths (/fake).
class Engine
{
public:
    Engine(boost::asio::io_context &loop, const EngineOptions &options);

    // Refuses new requests, finishes those in progress and then closes the server.
    void drain();

private:
    class Stream;
    struct Order {
        std::string id;
        std::string action;
        FencingNumber fencing;
        Incarnation incarnation;
        ModelId model;
        AdapterId adapter;
        VersionId version;
        Bytes bytes;
    };

    // Returns a responder that echoes the name of the exchange, if the request has one.
    static std::shared_ptr<HttpResponder> echoName(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void onRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void run(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    void answerReport(HttpResponder &responder);
    void answerOrder(const HttpRequest &request, HttpResponder &responder);
    void execute(const Order &order);
    void load(const Order &order);
    void evict(const Order &order);
    void cancel(const HttpRequest &request, HttpResponder &responder);
    void answerFaultControl(const HttpRequest &request, HttpResponder &responder);
    void setFaults(const HttpRequest &request);
    void enqueue(std::shared_ptr<Stream> stream);
    bool isSilent(const HttpResponder &responder) const { return responder.connection() <= m_silentConnections; }
    void startQueued();
    void onStreamEnded(Stream *stream);
    Bytes usedMemory() const;
    std::string currentReport() const;
    void refreshReport();

    boost::asio::io_context &m_loop;
    EngineOptions m_options;
    HttpServer m_server;
    boost::asio::steady_timer m_reportTimer;
    Incarnation m_incarnation;
    FencingNumber m_fencing;
    std::vector<LoadedModel> m_models;
    std::vector<LoadedAdapter> m_adapters;
    std::set<std::string> m_ordersSeen;
    std::map<Stream *, std::shared_ptr<Stream>> m_running;
    std::deque<std::shared_ptr<Stream>> m_waiting;
    std::string m_report;
    PrefixCache m_cache;
    EngineFaults m_faults;
    EngineStatistics m_statistics;
    // The highest connection number seen; connections up to m_silentConnections are never answered again.
    std::uint64_t m_latestConnection = 0;
    std::uint64_t m_silentConnections = 0;
    std::vector<std::shared_ptr<HttpResponder>> m_silencedResponders;
    bool m_draining = false;
};

} // namespace Hemlockhill::Fakes
