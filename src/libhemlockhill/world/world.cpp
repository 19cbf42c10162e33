// Parsing and formatting of addresses, sizes, durations and enumerations.
#include "hemlockhill/world.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace Hemlockhill
{

namespace
{

template<typename Enum, std::size_t Size>
using Names = std::array<std::pair<Enum, std::string_view>, Size>;

constexpr Names<EndpointKind, 2> EndpointKindNames{{{EndpointKind::Runner, "runner"}, {EndpointKind::PlainService, "plain-service"}}};
constexpr Names<FencingMode, 2> FencingModeNames{{{FencingMode::Checked, "checked"}, {FencingMode::Ignored, "ignored"}}};
constexpr Names<EndpointPhase, 2> EndpointPhaseNames{{{EndpointPhase::Active, "active"}, {EndpointPhase::Draining, "draining"}}};
constexpr Names<Priority, 3> PriorityNames{
    {{Priority::Interactive, "interactive"}, {Priority::Normal, "normal"}, {Priority::Batch, "batch"}}};

struct Unit {
    std::string_view name;
    std::uint64_t factor;
};

constexpr std::array<Unit, 5> ByteUnits{{{"TB", 1'000'000'000'000}, {"GB", 1'000'000'000}, {"MB", 1'000'000}, {"KB", 1'000}, {"B", 1}}};
constexpr std::array<Unit, 5> DurationUnits{{{"h", 3'600'000'000}, {"min", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}}};

template<typename Enum, std::size_t Size>
std::string_view nameOf(const Names<Enum, Size> &names, Enum value)
{
    for (const auto &[candidate, name] : names) {
        if (candidate == value) {
            return name;
        }
    }
    return "unknown";
}

template<typename Enum, std::size_t Size>
std::optional<Enum> valueOf(const Names<Enum, Size> &names, std::string_view text)
{
    for (const auto &[candidate, name] : names) {
        if (name == text) {
            return candidate;
        }
    }
    return std::nullopt;
}

template<std::size_t Size>
std::optional<std::uint64_t> parseWithUnit(std::string_view text, const std::array<Unit, Size> &units)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{}) {
        return std::nullopt;
    }
    const std::string_view suffix = text.substr(static_cast<std::size_t>(end - text.data()));
    for (const Unit &unit : units) {
        if (unit.name != suffix) {
            continue;
        }
        if (number > std::numeric_limits<std::int64_t>::max() / unit.factor) {
            return std::nullopt;
        }
        return number * unit.factor;
    }
    return std::nullopt;
}

template<std::size_t Size>
std::string formatWithUnit(std::uint64_t number, const std::array<Unit, Size> &units)
{
    for (const Unit &unit : units) {
        if (number != 0 && number % unit.factor == 0) {
            return std::to_string(number / unit.factor) + std::string(unit.name);
        }
    }
    return "0" + std::string(units.back().name);
}

} // namespace

std::string Address::text() const
{
    const bool isV6 = host.find(':') != std::string::npos;
    const std::string shownHost = isV6 ? "[" + host + "]" : host;
    return shownHost + ":" + std::to_string(port);
}

bool isName(std::string_view text)
{
    constexpr std::size_t LongestName = 64;
    const auto isAlphanumeric = [](char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9'); };
    if (text.empty() || text.size() > LongestName || !isAlphanumeric(text.front())) {
        return false;
    }
    const auto belongs = [&](char c) { return isAlphanumeric(c) || std::string_view("-_./+").find(c) != std::string_view::npos; };
    return std::all_of(text.begin(), text.end(), belongs);
}

std::optional<Address> parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    } else if (host.find(':') != std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc{} || end != portText.data() + portText.size() || port == 0) {
        return std::nullopt;
    }
    boost::system::error_code addressError;
    boost::asio::ip::make_address(std::string(host), addressError);
    if (addressError) {
        return std::nullopt;
    }
    return Address{std::string(host), port};
}

std::optional<Bytes> parseBytes(std::string_view text)
{
    const auto number = parseWithUnit(text, ByteUnits);
    return number ? std::optional(Bytes{*number}) : std::nullopt;
}

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto number = parseWithUnit(text, DurationUnits);
    return number ? std::optional(Duration(static_cast<std::int64_t>(*number))) : std::nullopt;
}

std::string formatBytes(Bytes bytes)
{
    return formatWithUnit(bytes.value, ByteUnits);
}

std::string formatDuration(Duration duration)
{
    return formatWithUnit(static_cast<std::uint64_t>(duration.count()), DurationUnits);
}

std::string_view toText(EndpointKind kind)
{
    return nameOf(EndpointKindNames, kind);
}

std::string_view toText(FencingMode mode)
{
    return nameOf(FencingModeNames, mode);
}

std::string_view toText(EndpointPhase phase)
{
    return nameOf(EndpointPhaseNames, phase);
}

std::string_view toText(Priority priority)
{
    return nameOf(PriorityNames, priority);
}

std::optional<EndpointKind> parseEndpointKind(std::string_view text)
{
    return valueOf(EndpointKindNames, text);
}

std::optional<FencingMode> parseFencingMode(std::string_view text)
{
    return valueOf(FencingModeNames, text);
}

std::optional<EndpointPhase> parseEndpointPhase(std::string_view text)
{
    return valueOf(EndpointPhaseNames, text);
}

std::optional<Priority> parsePriority(std::string_view text)
{
    return valueOf(PriorityNames, text);
}

} // namespace Hemlockhill
