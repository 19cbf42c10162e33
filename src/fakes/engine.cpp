#include "engine.h"

#include "hemlockhill/exchange_name.h"
#include "hemlockhill/failure.h"
#include "hemlockhill/timer_service.h"

#include <boost/crc.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <random>
#include <unistd.h>
#include <utility>

namespace Hemlockhill::Fakes
{

namespace
{

namespace json = boost::json;
using boost::system::error_code;

constexpr int CrashExitCode = 134;

HttpResponse jsonAnswer(unsigned status, const json::value &value)
{
    HttpResponse response;
    response.status = status;
    response.body = json::serialize(value);
    return response;
}

std::string makeIncarnation()
{
    return std::to_string(::getpid()) + "-" + std::to_string(currentTime().time_since_epoch().count());
}

std::uint64_t numberHeader(const HttpRequest &request, std::string_view name)
{
    const std::string text(request.header(name));
    return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
}

std::string stringMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    return member != nullptr && member->is_string() ? std::string(member->get_string()) : std::string();
}

std::uint64_t numberMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    return member != nullptr && member->is_number() ? member->to_number<std::uint64_t>() : 0;
}

} // namespace

std::string tokenAt(std::string_view prompt, std::uint64_t offset)
{
    boost::crc_32_type crc;
    crc.process_bytes(prompt.data(), prompt.size());
    return "w" + std::to_string(crc.checksum() % 10'000) + "." + std::to_string(offset) + " ";
}

// Sends the response of another responder with the name of the exchange added to its head.
class NamingResponder : public HttpResponder, public std::enable_shared_from_this<NamingResponder>
{
public:
    NamingResponder(std::shared_ptr<HttpResponder> responder, std::string_view name)
        : m_responder(std::move(responder))
        , m_name(name)
    {
    }

    // Passes on the callbacks of the other responder.
    void connect()
    {
        m_responder->onDisconnected = [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->onDisconnected) {
                self->onDisconnected();
            }
        };
        m_responder->onDrained = [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (self && self->onDrained) {
                self->onDrained();
            }
        };
    }

    void answer(HttpResponse response) override { m_responder->answer(named(std::move(response))); }
    void begin(HttpResponse head) override { m_responder->begin(named(std::move(head))); }
    void write(std::string bytes) override { m_responder->write(std::move(bytes)); }
    void end() override { m_responder->end(); }
    void abort() override { m_responder->abort(); }
    std::size_t pendingBytes() const override { return m_responder->pendingBytes(); }
    std::uint64_t connection() const override { return m_responder->connection(); }
    std::string remoteHost() const override { return m_responder->remoteHost(); }
    TimePoint receivedAt() const override { return m_responder->receivedAt(); }
    bool isConnected() const override { return m_responder->isConnected(); }

private:
    HttpResponse named(HttpResponse response) const
    {
        response.headers.push_back({std::string(ExchangeNameHeader), m_name});
        return response;
    }

    std::shared_ptr<HttpResponder> m_responder;
    std::string m_name;
};

// A request in progress. Produces one token per timer expiry.
class Engine::Stream : public std::enable_shared_from_this<Stream>
{
public:
    Stream(Engine &engine, ModelRequest request, const HttpRequest &wire, std::shared_ptr<HttpResponder> responder)
        : m_engine(engine)
        , m_request(std::move(request))
        , m_id(wire.header("Hemlockhill-Request"))
        , m_priority(parsePriority(wire.header("Hemlockhill-Priority")).value_or(Priority::Normal))
        , m_offset(numberHeader(wire, "Hemlockhill-Resume-Offset"))
        , m_responder(std::move(responder))
        , m_timer(engine.m_loop)
    {
    }

    const std::string &id() const { return m_id; }
    Priority priority() const { return m_priority; }

    // Stops the stream when its caller disconnects.
    void stopWhenCallerGone()
    {
        m_responder->onDisconnected = [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                ++self->m_engine.m_statistics.gone;
                self->stop();
            }
        };
    }

    void start()
    {
        m_offset -= std::min(m_offset, m_engine.m_faults.repeatOnResume);
        if (m_request.stream) {
            m_responder->begin(HttpResponse{200, "text/event-stream", {}, {}});
        }
        const auto prefixes = prefixHashes(m_request.model, {}, m_request.prompt);
        const std::size_t hits = m_engine.m_cache.use(prefixes, currentTime());
        m_engine.m_statistics.prefixBlocks += prefixes.size();
        m_engine.m_statistics.prefixHits += hits;
        const auto missedBlocks = static_cast<std::int64_t>(prefixes.size() - hits);
        schedule(m_engine.m_options.firstToken + m_engine.m_options.prefillPerBlock * missedBlocks + m_engine.m_faults.delay);
    }

    void stop()
    {
        m_timer.cancel();
        m_responder->abort();
        m_engine.onStreamEnded(this);
    }

private:
    void schedule(Duration delay)
    {
        m_timer.expires_after(delay);
        m_timer.async_wait([self = shared_from_this()](error_code error) {
            if (!error) {
                self->produce();
            }
        });
    }

    void produce()
    {
        const EngineFaults &faults = m_engine.m_faults;
        if (m_engine.isSilent(*m_responder) || (faults.stallAfterTokens && m_produced >= *faults.stallAfterTokens)) {
            return;
        }
        if (faults.cutAfterTokens && m_produced >= *faults.cutAfterTokens) {
            stop();
            return;
        }
        if (m_offset >= m_request.maximumTokens) {
            finish();
            return;
        }
        if (m_request.stream && faults.gapAtToken == m_offset) {
            ++m_offset;
        }
        const std::string token = tokenAt(m_request.prompt, m_offset);
        if (m_request.stream) {
            m_responder->write("data: " + json::serialize(chunk(token)) + "\n\n");
        } else {
            m_text += token;
        }
        ++m_offset;
        ++m_produced;
        schedule(m_engine.m_options.betweenTokens);
    }

    json::object chunk(const std::string &token) const
    {
        json::object choice{{"index", 0}, {"finish_reason", nullptr}};
        if (m_request.path == "/v1/completions") {
            choice["text"] = token;
        } else {
            choice["delta"] = {{"content", token}};
        }
        return {{"id", m_id}, {"model", m_request.model.value}, {"token_offset", m_offset}, {"choices", json::array{std::move(choice)}}};
    }

    void finish()
    {
        if (m_request.stream) {
            if (!m_engine.m_faults.skipEndMarker) {
                m_responder->write("data: [DONE]\n\n");
            }
            m_responder->end();
        } else {
            m_responder->answer(jsonAnswer(200, completeAnswer()));
        }
        ++m_engine.m_statistics.finished;
        m_engine.onStreamEnded(this);
    }

    json::object completeAnswer() const
    {
        json::object choice{{"index", 0}, {"finish_reason", "stop"}};
        if (m_request.path == "/v1/completions") {
            choice["text"] = m_text;
        } else {
            choice["message"] = {{"role", "assistant"}, {"content", m_text}};
        }
        return {{"id", m_id},
                {"model", m_request.model.value},
                {"choices", json::array{std::move(choice)}},
                {"usage", {{"completion_tokens", m_offset}}}};
    }

    Engine &m_engine;
    ModelRequest m_request;
    std::string m_id;
    Priority m_priority;
    std::uint64_t m_offset;
    std::uint64_t m_produced = 0;
    std::shared_ptr<HttpResponder> m_responder;
    boost::asio::steady_timer m_timer;
    std::string m_text;
};

Engine::Engine(boost::asio::io_context &loop, const EngineOptions &options)
    : m_loop(loop)
    , m_options(options)
    , m_server(
          loop,
          options.listen,
          HttpServerLimits{},
          [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
              onRequest(request, echoName(request, responder));
          },
          [](Reason) {})
    , m_reportTimer(loop)
    , m_incarnation{makeIncarnation()}
    , m_models(options.preloaded)
    , m_cache(options.cacheBlocks, options.cacheEventLag)
{
    refreshReport();
}

std::shared_ptr<HttpResponder> Engine::echoName(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const std::string_view name = request.header(ExchangeNameHeader);
    if (name.empty()) {
        return responder;
    }
    auto naming = std::make_shared<NamingResponder>(responder, name);
    naming->connect();
    return naming;
}

void Engine::onRequest(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    const std::string_view path = request.path();
    m_latestConnection = std::max(m_latestConnection, responder->connection());
    if (isSilent(*responder)) {
        m_silencedResponders.push_back(responder);
    } else if (path.starts_with("/fake/")) {
        answerFaultControl(request, *responder);
    } else if (path == "/engine/v1/cache-events") {
        HttpResponse response;
        response.body =
            m_cache.eventsAfter(std::strtoull(request.target.c_str() + request.target.find('=') + 1, nullptr, 10), currentTime());
        responder->answer(std::move(response));
    } else if (path == "/engine/v1/report") {
        answerReport(*responder);
    } else if (path == "/engine/v1/orders") {
        answerOrder(request, *responder);
    } else if (path == "/engine/v1/cancel") {
        cancel(request, *responder);
    } else if (path == "/v1/chat/completions" || path == "/v1/completions") {
        run(request, responder);
    } else {
        responder->answer(jsonAnswer(404, {{"error", "unknown path"}}));
    }
}

void Engine::run(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    if (m_draining) {
        responder->answer(jsonAnswer(503, {{"error", "leaving"}, {"ran", "no"}}));
        return;
    }
    ModelRequest modelRequest;
    try {
        modelRequest = parseModelRequest(request.path(), request.body);
    } catch (const DecodeError &error) {
        responder->answer(jsonAnswer(400, {{"error", error.what()}, {"ran", "no"}}));
        return;
    }
    const bool loaded =
        std::any_of(m_models.begin(), m_models.end(), [&](const LoadedModel &model) { return model.model == modelRequest.model; });
    const bool adapterLoaded = std::any_of(m_adapters.begin(), m_adapters.end(), [&](const LoadedAdapter &adapter) {
        return adapter.adapter.value == modelRequest.model.value;
    });
    if (!loaded && !adapterLoaded) {
        responder->answer(jsonAnswer(404, {{"error", "not loaded"}, {"ran", "no"}}));
        return;
    }
    if (modelRequest.prompt.find(CrashMarker) != std::string::npos) {
        std::_Exit(CrashExitCode);
    }
    ++m_statistics.runs;
    const auto stream = std::make_shared<Stream>(*this, std::move(modelRequest), request, responder);
    stream->stopWhenCallerGone();
    enqueue(stream);
    startQueued();
}

// Inserts the stream behind all queued streams of the same or a higher priority.
void Engine::enqueue(std::shared_ptr<Stream> stream)
{
    const auto place =
        std::find_if(m_waiting.begin(), m_waiting.end(), [&](const auto &waiting) { return waiting->priority() > stream->priority(); });
    m_waiting.insert(place, std::move(stream));
}

void Engine::answerFaultControl(const HttpRequest &request, HttpResponder &responder)
{
    if (request.path() == "/fake/mode") {
        setFaults(request);
    }
    responder.answer(jsonAnswer(200,
                                {{"runs", m_statistics.runs},
                                 {"finished", m_statistics.finished},
                                 {"gone", m_statistics.gone},
                                 {"running", m_running.size()},
                                 {"waiting", m_waiting.size()},
                                 {"prefix_blocks", m_statistics.prefixBlocks},
                                 {"prefix_hits", m_statistics.prefixHits}}));
}

void Engine::setFaults(const HttpRequest &request)
{
    json::error_code error;
    const json::value body = json::parse(request.body, error);
    m_faults = EngineFaults{};
    if (error || !body.is_object()) {
        return;
    }
    const json::object &object = body.get_object();
    const auto limit = [&](std::string_view key) {
        return object.contains(key) ? std::optional(numberMember(object, key)) : std::optional<std::uint64_t>();
    };
    const auto flag = [&](std::string_view key) {
        const json::value *member = object.if_contains(key);
        return member != nullptr && member->is_bool() && member->get_bool();
    };
    m_faults.stallAfterTokens = limit("stall_after_tokens");
    m_faults.cutAfterTokens = limit("cut_after_tokens");
    m_faults.gapAtToken = limit("gap_at_token");
    m_faults.repeatOnResume = numberMember(object, "repeat_on_resume");
    m_faults.skipEndMarker = flag("skip_end_marker");
    m_faults.delay = std::chrono::milliseconds(numberMember(object, "delay_ms"));
    if (flag("silent_open_connections")) {
        m_silentConnections = m_latestConnection;
    }
}

void Engine::startQueued()
{
    while (!m_waiting.empty() && m_running.size() < m_options.batchLimit) {
        const auto stream = m_waiting.front();
        m_waiting.pop_front();
        m_running.emplace(stream.get(), stream);
        stream->start();
    }
}

void Engine::onStreamEnded(Stream *stream)
{
    const auto keepAlive = stream->shared_from_this();
    m_running.erase(stream);
    std::erase_if(m_waiting, [stream](const auto &waiting) { return waiting.get() == stream; });
    startQueued();
    if (m_draining && m_running.empty() && m_waiting.empty()) {
        m_reportTimer.cancel();
        m_server.stopAccepting();
    }
}

void Engine::cancel(const HttpRequest &request, HttpResponder &responder)
{
    json::error_code error;
    const json::value body = json::parse(request.body, error);
    const std::string id = !error && body.is_object() ? stringMember(body.get_object(), "request") : std::string();
    std::vector<std::shared_ptr<Stream>> found;
    for (const auto &[raw, stream] : m_running) {
        if (stream->id() == id) {
            found.push_back(stream);
        }
    }
    for (const auto &stream : found) {
        stream->stop();
    }
    responder.answer(jsonAnswer(200, {{"cancelled", found.size()}}));
}

Bytes Engine::usedMemory() const
{
    Bytes total;
    for (const LoadedModel &model : m_models) {
        total += model.bytes;
    }
    for (const LoadedAdapter &adapter : m_adapters) {
        total += adapter.bytes;
    }
    return total;
}

std::string Engine::currentReport() const
{
    json::array models;
    for (const LoadedModel &model : m_models) {
        models.push_back({{"model", model.model.value}, {"version", model.version.value}, {"bytes", model.bytes.value}});
    }
    json::array adapters;
    for (const LoadedAdapter &adapter : m_adapters) {
        adapters.push_back({{"adapter", adapter.adapter.value},
                            {"model", adapter.model.value},
                            {"version", adapter.version.value},
                            {"bytes", adapter.bytes.value}});
    }
    const double tokenRate = static_cast<double>(m_running.size()) / std::chrono::duration<double>(m_options.betweenTokens).count();
    return json::serialize(json::object{{"incarnation", m_incarnation.value},
                                        {"fencing", m_fencing.value},
                                        {"memory_bytes", m_options.memory.value},
                                        {"used_bytes", usedMemory().value},
                                        {"models", std::move(models)},
                                        {"adapters", std::move(adapters)},
                                        {"running", m_running.size()},
                                        {"waiting", m_waiting.size()},
                                        {"batch_limit", m_options.batchLimit},
                                        {"tokens_per_s", tokenRate},
                                        {"leaving", m_draining}});
}

void Engine::refreshReport()
{
    m_report = currentReport();
    m_reportTimer.expires_after(m_options.reportLag);
    m_reportTimer.async_wait([this](error_code error) {
        if (!error) {
            refreshReport();
        }
    });
}

void Engine::answerReport(HttpResponder &responder)
{
    HttpResponse response;
    response.body = m_report;
    responder.answer(std::move(response));
}

void Engine::answerOrder(const HttpRequest &request, HttpResponder &responder)
{
    json::error_code error;
    const json::value body = json::parse(request.body, error);
    if (error || !body.is_object()) {
        responder.answer(jsonAnswer(400, {{"refused", "malformed"}}));
        return;
    }
    const json::object &object = body.get_object();
    Order order;
    order.id = stringMember(object, "order");
    order.action = stringMember(object, "action");
    order.fencing = FencingNumber{numberMember(object, "fencing")};
    order.incarnation = Incarnation{stringMember(object, "incarnation")};
    order.model = ModelId{stringMember(object, "model")};
    order.adapter = AdapterId{stringMember(object, "adapter")};
    order.version = VersionId{stringMember(object, "version")};
    order.bytes = Bytes{numberMember(object, "bytes")};
    if (m_options.fencing == FencingMode::Checked && order.fencing < m_fencing) {
        responder.answer(jsonAnswer(409, {{"refused", "old_fencing_number"}, {"fencing", m_fencing.value}}));
        return;
    }
    if (m_options.fencing == FencingMode::Checked && !order.incarnation.empty() && order.incarnation != m_incarnation) {
        responder.answer(jsonAnswer(409, {{"refused", "other_incarnation"}, {"incarnation", m_incarnation.value}}));
        return;
    }
    m_fencing = std::max(m_fencing, order.fencing);
    if (m_ordersSeen.insert(order.id).second) {
        execute(order);
    }
    responder.answer(jsonAnswer(200, {{"accepted", order.id}}));
}

void Engine::execute(const Order &order)
{
    if (order.action == "evict") {
        evict(order);
        return;
    }
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_options.loadTime);
    timer->async_wait([this, timer, order](error_code) { load(order); });
}

void Engine::load(const Order &order)
{
    if (usedMemory() + order.bytes > m_options.memory) {
        std::cerr << "fake_engine: memory overcommitted by order " << order.id << '\n';
        std::_Exit(CrashExitCode);
    }
    if (order.adapter.empty()) {
        m_models.push_back({order.model, order.version, order.bytes});
    } else {
        m_adapters.push_back({order.adapter, order.model, order.version, order.bytes});
    }
}

void Engine::evict(const Order &order)
{
    if (order.adapter.empty()) {
        std::erase_if(m_models, [&](const LoadedModel &model) { return model.model == order.model && model.version == order.version; });
    } else {
        std::erase_if(m_adapters,
                      [&](const LoadedAdapter &adapter) { return adapter.adapter == order.adapter && adapter.version == order.version; });
    }
}

void Engine::drain()
{
    m_draining = true;
    refreshReport();
    if (m_running.empty() && m_waiting.empty()) {
        m_reportTimer.cancel();
        m_server.stopAccepting();
    }
}

} // namespace Hemlockhill::Fakes
