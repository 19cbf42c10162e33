// The objects that operators declare: VMs, data centres, endpoints, models, adapters and services; and their identifiers and units.
#pragma once

#include "hemlockhill/strong_type.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

using VmId = Id<struct VmTag>;
using DataCentreId = Id<struct DataCentreTag>;
using EndpointId = Id<struct EndpointTag>;
using ModelId = Id<struct ModelTag>;
using AdapterId = Id<struct AdapterTag>;
using VersionId = Id<struct VersionTag>;
// Version of the software that an endpoint runs, not of the weights that it has loaded. Versions have no order.
using SoftwareVersion = Id<struct SoftwareVersionTag>;
using ServiceId = Id<struct ServiceTag>;
using ClusterId = Id<struct ClusterTag>;
using OperationId = Id<struct OperationTag>;
using RequestId = Id<struct RequestTag>;
using IdempotencyKey = Id<struct IdempotencyKeyTag>;
using Incarnation = Id<struct IncarnationTag>;

using Bytes = Quantity<struct BytesTag>;
using Revision = Quantity<struct RevisionTag>;
using FencingNumber = Quantity<struct FencingNumberTag>;
using TokenCount = Quantity<struct TokenCountTag>;

// Times are monotonic and passed in by the caller of each state machine, so that tests can use virtual time.
using Duration = std::chrono::microseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A monotonic clock that also counts the time for which the machine is suspended, which std::chrono::steady_clock does not.
struct BootClock {
    using rep = Duration::rep;
    using period = Duration::period;
    using duration = Duration;
    using time_point = std::chrono::time_point<BootClock, Duration>;
    static constexpr bool is_steady = true;

    static time_point now();
};
using BootTimePoint = BootClock::time_point;

// An IP address and a port.
struct Address {
    std::string host;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
    std::string text() const;
};

// Parses "127.0.0.1:8080" or "[::1]:8080". Returns nullopt if the text is not an IP address with a port from 1 to 65535.
std::optional<Address> parseAddress(std::string_view text);

// Parses a size such as "80GB", "512MB" or "4096B" (decimal multiples). Returns nullopt if the text is malformed or the size exceeds
// 2^63 - 1 bytes.
std::optional<Bytes> parseBytes(std::string_view text);

// Parses a duration such as "470ms", "2s", "15us", "5min" or "1h". Returns nullopt if the text is malformed or the duration exceeds
// 2^63 - 1 microseconds.
std::optional<Duration> parseDuration(std::string_view text);

// True if the text is a valid object name: up to 64 letters, digits and -_./+ characters, starting with a letter or digit.
bool isName(std::string_view text);

// Formats a size in the largest decimal unit that divides it exactly, so that parseBytes returns the same value.
std::string formatBytes(Bytes bytes);

// Formats a duration in the largest unit that divides it exactly, so that parseDuration returns the same value.
std::string formatDuration(Duration duration);

// The kind of an endpoint: a runner hosts models, a plain service handles requests routed to it by path.
enum class EndpointKind { Runner, PlainService };

// Whether an engine refuses orders with an outdated fencing number.
enum class FencingMode { Checked, Ignored };

// Whether an endpoint may receive new requests.
enum class EndpointPhase { Active, Draining };

// The priority of a service's requests; Interactive is the highest.
enum class Priority { Interactive, Normal, Batch };

// A VM of the system. Every VM is an entry node; VMs with a disk may also be controllers.
struct Vm {
    VmId id;
    DataCentreId dataCentre;
    // The address at which other VMs reach it.
    Address address;
    bool controller = false;

    bool operator==(const Vm &) const = default;
};

// A backend server that processes callers' requests; not one of the system's own VMs.
struct Endpoint {
    EndpointId id;
    DataCentreId dataCentre;
    Address address;
    EndpointKind kind = EndpointKind::Runner;
    FencingMode fencing = FencingMode::Checked;
    EndpointPhase phase = EndpointPhase::Active;
    Bytes memory;

    bool operator==(const Endpoint &) const = default;
};

// A model that must remain available. Weights and KV reserve are accelerator memory per loaded copy.
struct Model {
    ModelId id;
    VersionId version;
    Bytes weights;
    Bytes kvReserve;
    std::uint32_t minimumCopies = 1;
    ServiceId service;

    bool operator==(const Model &) const = default;
};

// A fine-tuned adapter, loaded together with its model.
struct Adapter {
    AdapterId id;
    ModelId model;
    VersionId version;
    Bytes weights;
    bool pinned = false;

    bool operator==(const Adapter &) const = default;
};

// A class of callers' requests with a priority and latency targets. A plain service also lists its endpoints.
struct Service {
    ServiceId id;
    Priority priority = Priority::Normal;
    Duration firstTokenTarget = std::chrono::milliseconds(470);
    Duration betweenTokensTarget = std::chrono::milliseconds(25);
    Duration deadline = std::chrono::seconds(30);
    bool onceOnly = false;
    std::vector<EndpointId> endpoints;

    bool operator==(const Service &) const = default;
};

std::string_view toText(EndpointKind kind);
std::string_view toText(FencingMode mode);
std::string_view toText(EndpointPhase phase);
std::string_view toText(Priority priority);

std::optional<EndpointKind> parseEndpointKind(std::string_view text);
std::optional<FencingMode> parseFencingMode(std::string_view text);
std::optional<EndpointPhase> parseEndpointPhase(std::string_view text);
std::optional<Priority> parsePriority(std::string_view text);

} // namespace Hemlockhill
