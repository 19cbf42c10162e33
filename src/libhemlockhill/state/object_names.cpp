// Names of object kinds and region settings.
#include "hemlockhill/region_state.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

template<typename Value>
std::optional<Value> parseAmong(const std::vector<Value> &values, std::string_view text)
{
    const auto found = std::find_if(values.begin(), values.end(), [text](Value value) { return toText(value) == text; });
    return found == values.end() ? std::nullopt : std::optional(*found);
}

} // namespace

const std::vector<ObjectKind> &allObjectKinds()
{
    static const std::vector<ObjectKind> kinds{
        ObjectKind::Endpoint, ObjectKind::Model, ObjectKind::Adapter, ObjectKind::Service, ObjectKind::Vm};
    return kinds;
}

const std::vector<RegionSetting> &allRegionSettings()
{
    static const std::vector<RegionSetting> settings{RegionSetting::AttainmentWeight,
                                                     RegionSetting::MoveWeight,
                                                     RegionSetting::LoadsPerSecond,
                                                     RegionSetting::ConcurrentLoads,
                                                     RegionSetting::ConcurrentAdapterLoads};
    return settings;
}

std::string_view toText(ObjectKind kind)
{
    switch (kind) {
    case ObjectKind::Endpoint:
        return "endpoint";
    case ObjectKind::Model:
        return "model";
    case ObjectKind::Adapter:
        return "adapter";
    case ObjectKind::Service:
        return "service";
    case ObjectKind::Vm:
        break;
    }
    return "vm";
}

std::string_view toText(RegionSetting setting)
{
    switch (setting) {
    case RegionSetting::AttainmentWeight:
        return "attainment-weight";
    case RegionSetting::MoveWeight:
        return "move-weight";
    case RegionSetting::LoadsPerSecond:
        return "loads-per-second";
    case RegionSetting::ConcurrentLoads:
        return "concurrent-loads";
    case RegionSetting::ConcurrentAdapterLoads:
        break;
    }
    return "concurrent-adapter-loads";
}

std::optional<ObjectKind> parseObjectKind(std::string_view text)
{
    return parseAmong(allObjectKinds(), text);
}

std::optional<RegionSetting> parseRegionSetting(std::string_view text)
{
    return parseAmong(allRegionSettings(), text);
}

bool isCount(RegionSetting setting)
{
    return setting == RegionSetting::ConcurrentLoads || setting == RegionSetting::ConcurrentAdapterLoads;
}

} // namespace Hemlockhill
