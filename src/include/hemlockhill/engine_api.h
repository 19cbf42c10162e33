// The one adapter to model engines: how requests, orders and reports are written on the wire. docs/ENGINE_API.md fixes each message.
// A deployment whose engines speak another dialect replaces this file's implementation.
#pragma once

#include "hemlockhill/http.h"
#include "hemlockhill/prefix_index.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// A model version in an engine's memory.
struct LoadedModel {
    ModelId model;
    VersionId version;
    Bytes bytes;
    bool operator==(const LoadedModel &) const = default;
};

struct LoadedAdapter {
    AdapterId adapter;
    ModelId model;
    VersionId version;
    Bytes bytes;
    bool operator==(const LoadedAdapter &) const = default;
};

// What an engine says of itself. The figures describe the engine as it was some time before the report arrived.
struct EndpointReport {
    Incarnation incarnation;
    FencingNumber fencing;
    Bytes memoryTotal;
    Bytes memoryUsed;
    std::vector<LoadedModel> models;
    std::vector<LoadedAdapter> adapters;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Requests that the engine runs at one time; others wait in its queue.
    std::uint32_t batchLimit = 1;
    // Tokens generated a second, over all requests in progress.
    double tokensPerSecond = 0;
    // True once the engine has begun to shut down.
    bool leaving = false;
    // When it was asked for: what it says was true at that instant or later, less the engine's own lag.
    TimePoint requestedAt;
};

using EndpointReports = std::map<EndpointId, EndpointReport>;

// A model, and the adapter on it when one was asked for.
struct RoutingTarget {
    ModelId model;
    AdapterId adapter;
    auto operator<=>(const RoutingTarget &) const = default;
};

// A caller's request for a model, once its body has been understood.
struct ModelRequest {
    // "/v1/chat/completions" or "/v1/completions".
    std::string path;
    std::string body;
    // The name that the caller gave: a model, an adapter, or both joined by a colon.
    ModelId model;
    bool stream = false;
    // The text that the engine's prefix cache would see.
    std::string prompt;
    std::uint32_t maximumTokens = 0;
};

// The request for a report.
HttpRequest reportRequest();

// Parses the body of a report. Throws DecodeError.
EndpointReport parseReport(std::string_view body);

// The request for the cache events that follow a sequence number.
HttpRequest cacheEventsRequest(std::uint64_t after);

// Parses the body of an answer with cache events. Throws DecodeError.
std::vector<CacheEvent> parseCacheEvents(std::string_view body);

// Names the target in the request's body as engines do: by the adapter when there is one, else by the model.
void setModelName(ModelRequest &request, const RoutingTarget &target);

// The request that runs a model request on an engine. resumeOffset tokens were already delivered to the caller.
HttpRequest runRequest(const ModelRequest &request, const RequestId &id, Priority priority, Duration timeLeft, TokenCount resumeOffset);

// Parses a caller's body. Throws DecodeError with what is wrong.
ModelRequest parseModelRequest(std::string_view path, std::string body);

} // namespace Hemlockhill
