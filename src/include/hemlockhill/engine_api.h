// Protocol adapter for model engines: encodes requests and decodes reports and cache events. docs/ENGINE_API.md specifies each message.
// To support engines with another protocol, replace the implementation of this header.
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

// A model version that is loaded in an engine's memory.
struct LoadedModel {
    ModelId model;
    VersionId version;
    Bytes bytes;
    bool operator==(const LoadedModel &) const = default;
};

// An adapter that is loaded in an engine's memory.
struct LoadedAdapter {
    AdapterId adapter;
    ModelId model;
    VersionId version;
    Bytes bytes;
    bool operator==(const LoadedAdapter &) const = default;
};

// State of an engine as reported by itself. The values date from some time before the report arrived.
struct EndpointReport {
    Incarnation incarnation;
    FencingNumber fencing;
    Bytes memoryTotal;
    Bytes memoryUsed;
    std::vector<LoadedModel> models;
    std::vector<LoadedAdapter> adapters;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // Maximum number of requests that the engine runs concurrently; others wait in its queue.
    std::uint32_t batchLimit = 1;
    // Generation rate in tokens per second, summed over all requests in progress.
    double tokensPerSecond = 0;
    // True once the engine has begun to shut down.
    bool leaving = false;
    // Time at which the report was requested. The report describes the engine at that time or later, minus the engine's reporting delay.
    TimePoint requestedAt;
};

using EndpointReports = std::map<EndpointId, EndpointReport>;

// The model to run and, if one was requested, the adapter on it.
struct RoutingTarget {
    ModelId model;
    AdapterId adapter;
    auto operator<=>(const RoutingTarget &) const = default;
};

// A parsed inference request of a caller.
struct ModelRequest {
    // "/v1/chat/completions" or "/v1/completions".
    std::string path;
    std::string body;
    // The name given by the caller: a model, an adapter, or both as "model:adapter".
    ModelId model;
    bool stream = false;
    // The prompt text over which the engine's prefix cache is keyed.
    std::string prompt;
    std::uint32_t maximumTokens = 0;
};

// Builds the request for a report.
HttpRequest reportRequest();

// Parses the body of a report. Throws DecodeError.
EndpointReport parseReport(std::string_view body);

// Builds the request for the cache events after a sequence number.
HttpRequest cacheEventsRequest(std::uint64_t after);

// Parses the body of a cache events response. Throws DecodeError.
std::vector<CacheEvent> parseCacheEvents(std::string_view body);

// Sets "model" in the request's body to the name that engines expect: the adapter's if there is one, else the model's.
void setModelName(ModelRequest &request, const RoutingTarget &target);

// Builds the request that runs an inference request on an engine. resumeOffset is the number of tokens already delivered to the caller.
HttpRequest runRequest(const ModelRequest &request, const RequestId &id, Priority priority, Duration timeLeft, TokenCount resumeOffset);

// Parses the body of a caller's request. Throws DecodeError with a description of the error.
ModelRequest parseModelRequest(std::string_view path, std::string body);

} // namespace Hemlockhill
