// The default engine protocol: the API common to model servers, with additional Hemlockhill headers.
#include "hemlockhill/engine_api.h"

#include "hemlockhill/failure.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

constexpr std::uint32_t DefaultMaximumTokens = 256;
constexpr std::size_t JsonDepthLimit = 32;

json::value parseJson(std::string_view text)
{
    json::parse_options options;
    options.max_depth = JsonDepthLimit;
    json::error_code error;
    json::value value = json::parse(text, error, {}, options);
    if (error) {
        throw DecodeError("the body is not valid JSON: " + error.message());
    }
    if (!value.is_object()) {
        throw DecodeError("the body must be a JSON object");
    }
    return value;
}

std::string textMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    if (member == nullptr || !member->is_string() || member->get_string().empty()) {
        throw DecodeError("\"" + std::string(key) + "\" must be a non-empty string");
    }
    return std::string(member->get_string());
}

template<typename Number>
Number numberMember(const json::object &object, std::string_view key, Number fallback)
{
    const json::value *member = object.if_contains(key);
    if (member == nullptr) {
        return fallback;
    }
    json::error_code error;
    const auto number = member->to_number<Number>(error);
    if (error) {
        throw DecodeError("\"" + std::string(key) + "\" must be a number in range");
    }
    return number;
}

bool booleanMember(const json::object &object, std::string_view key)
{
    const json::value *member = object.if_contains(key);
    if (member == nullptr) {
        return false;
    }
    if (!member->is_bool()) {
        throw DecodeError("\"" + std::string(key) + "\" must be true or false");
    }
    return member->get_bool();
}

// Concatenates the messages of a chat in the order in which an engine processes them.
std::string promptOfMessages(const json::object &object)
{
    const json::value *messages = object.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
        throw DecodeError("\"messages\" must be a non-empty array");
    }
    std::string prompt;
    for (const json::value &message : messages->get_array()) {
        if (!message.is_object()) {
            throw DecodeError("each element of \"messages\" must be an object");
        }
        prompt += textMember(message.get_object(), "role") + ": " + textMember(message.get_object(), "content") + "\n";
    }
    return prompt;
}

LoadedModel parseLoadedModel(const json::object &object)
{
    return {ModelId{textMember(object, "model")},
            VersionId{textMember(object, "version")},
            Bytes{numberMember<std::uint64_t>(object, "bytes", 0)}};
}

LoadedAdapter parseLoadedAdapter(const json::object &object)
{
    return {AdapterId{textMember(object, "adapter")},
            ModelId{textMember(object, "model")},
            VersionId{textMember(object, "version")},
            Bytes{numberMember<std::uint64_t>(object, "bytes", 0)}};
}

// A prefix hash is encoded as a decimal string, since many JSON parsers cannot represent 64-bit integers.
CacheEvent parseCacheEvent(const json::object &object)
{
    CacheEvent event;
    event.sequence = numberMember<std::uint64_t>(object, "sequence", 0);
    event.action = textMember(object, "action") == "evict" ? CacheAction::Evict : CacheAction::Store;
    const std::string prefix = textMember(object, "prefix");
    const auto [end, error] = std::from_chars(prefix.data(), prefix.data() + prefix.size(), event.prefix.value);
    if (error != std::errc() || end != prefix.data() + prefix.size()) {
        throw DecodeError("\"prefix\" must be a string with a decimal number");
    }
    return event;
}

template<typename Element>
std::vector<Element> parseList(const json::object &object, std::string_view key, Element (*parse)(const json::object &))
{
    std::vector<Element> elements;
    const json::value *list = object.if_contains(key);
    if (list == nullptr) {
        return elements;
    }
    if (!list->is_array()) {
        throw DecodeError("\"" + std::string(key) + "\" must be an array");
    }
    for (const json::value &element : list->get_array()) {
        if (!element.is_object()) {
            throw DecodeError("each element of \"" + std::string(key) + "\" must be an object");
        }
        elements.push_back(parse(element.get_object()));
    }
    return elements;
}

} // namespace

HttpRequest reportRequest()
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/engine/v1/report";
    return request;
}

EndpointReport parseReport(std::string_view body)
{
    const json::value value = parseJson(body);
    const json::object &object = value.get_object();
    EndpointReport report;
    report.incarnation = Incarnation{textMember(object, "incarnation")};
    report.fencing = FencingNumber{numberMember<std::uint64_t>(object, "fencing", 0)};
    report.memoryTotal = Bytes{numberMember<std::uint64_t>(object, "memory_bytes", 0)};
    report.memoryUsed = Bytes{numberMember<std::uint64_t>(object, "used_bytes", 0)};
    report.models = parseList<LoadedModel>(object, "models", parseLoadedModel);
    report.adapters = parseList<LoadedAdapter>(object, "adapters", parseLoadedAdapter);
    report.running = numberMember<std::uint32_t>(object, "running", 0);
    report.waiting = numberMember<std::uint32_t>(object, "waiting", 0);
    report.batchLimit = std::max<std::uint32_t>(1, numberMember<std::uint32_t>(object, "batch_limit", 1));
    report.tokensPerSecond = numberMember<double>(object, "tokens_per_s", 0);
    report.leaving = booleanMember(object, "leaving");
    return report;
}

HttpRequest cacheEventsRequest(std::uint64_t after)
{
    HttpRequest request;
    request.method = "GET";
    request.target = "/engine/v1/cache-events?after=" + std::to_string(after);
    return request;
}

std::vector<CacheEvent> parseCacheEvents(std::string_view body)
{
    return parseList<CacheEvent>(parseJson(body).get_object(), "events", parseCacheEvent);
}

void setModelName(ModelRequest &request, const RoutingTarget &target)
{
    const std::string &name = target.adapter.empty() ? target.model.value : target.adapter.value;
    if (request.model.value == name) {
        return;
    }
    json::value body = parseJson(request.body);
    body.get_object()["model"] = name;
    request.body = json::serialize(body);
    request.model = ModelId{name};
}

HttpRequest runRequest(const ModelRequest &request, const RequestId &id, Priority priority, Duration timeLeft, TokenCount resumeOffset)
{
    HttpRequest wire;
    wire.method = "POST";
    wire.target = request.path;
    wire.body = request.body;
    wire.headers.push_back({"Content-Type", "application/json"});
    wire.headers.push_back({"Hemlockhill-Request", id.value});
    wire.headers.push_back({"Hemlockhill-Priority", std::string(toText(priority))});
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeLeft).count();
    wire.headers.push_back({"Hemlockhill-Deadline-Ms", std::to_string(std::max<std::int64_t>(0, milliseconds))});
    if (resumeOffset.value > 0) {
        wire.headers.push_back({"Hemlockhill-Resume-Offset", std::to_string(resumeOffset.value)});
    }
    return wire;
}

ModelRequest parseModelRequest(std::string_view path, std::string body)
{
    const json::value value = parseJson(body);
    const json::object &object = value.get_object();
    ModelRequest request;
    request.path = std::string(path);
    request.model = ModelId{textMember(object, "model")};
    request.stream = booleanMember(object, "stream");
    request.prompt = path == "/v1/chat/completions" ? promptOfMessages(object) : textMember(object, "prompt");
    request.maximumTokens = numberMember<std::uint32_t>(object, "max_tokens", DefaultMaximumTokens);
    request.body = std::move(body);
    return request;
}

} // namespace Hemlockhill
