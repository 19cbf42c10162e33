// Comparison of settings, and the settings that can change in a running node.
#include "hemlockhill/settings.h"

#include <cmath>
#include <functional>
#include <string>
#include <string_view>

namespace Hemlockhill
{

namespace
{

// Describes one setting: its JSON path, whether it can change at run time, and functions that compare and copy it.
struct SettingDescriptor {
    std::string path;
    ChangeEffect effect = ChangeEffect::NeedsRestart;
    std::function<bool(const Settings &, const Settings &)> differs;
    std::function<void(Settings &, const Settings &)> copy;
};

template<typename Value>
SettingDescriptor descriptor(std::string_view name, ChangeEffect effect, Value Settings::*value)
{
    return {"$." + std::string(name),
            effect,
            [value](const Settings &left, const Settings &right) { return left.*value != right.*value; },
            [value](Settings &target, const Settings &source) { target.*value = source.*value; }};
}

template<typename Section, typename Value>
SettingDescriptor descriptor(std::string_view name, ChangeEffect effect, Section Settings::*section, Value Section::*value)
{
    return {"$." + std::string(name),
            effect,
            [=](const Settings &left, const Settings &right) { return left.*section.*value != right.*section.*value; },
            [=](Settings &target, const Settings &source) { target.*section.*value = source.*section.*value; }};
}

const std::vector<SettingDescriptor> &settingDescriptors()
{
    using enum ChangeEffect;
    static const std::vector<SettingDescriptor> table{
        descriptor("cluster", NeedsRestart, &Settings::cluster),
        descriptor("vm", NeedsRestart, &Settings::vm),
        descriptor("data_centre", NeedsRestart, &Settings::dataCentre),
        descriptor("callers.listen", NeedsRestart, &Settings::callers, &CallerSettings::listen),
        descriptor("callers.header_limit", AtRunTime, &Settings::callers, &CallerSettings::headerLimit),
        descriptor("callers.body_limit", AtRunTime, &Settings::callers, &CallerSettings::bodyLimit),
        descriptor("callers.request_timeout", AtRunTime, &Settings::callers, &CallerSettings::requestTimeout),
        descriptor("callers.idle_timeout", AtRunTime, &Settings::callers, &CallerSettings::idleTimeout),
        descriptor("callers.connection_limit", AtRunTime, &Settings::callers, &CallerSettings::connectionLimit),
        descriptor("callers.request_limit", AtRunTime, &Settings::callers, &CallerSettings::requestLimit),
        descriptor("operators.listen", NeedsRestart, &Settings::operators, &OperatorSettings::listen),
        descriptor("peers.listen", NeedsRestart, &Settings::peers, &PeersSettings::listen),
        descriptor("peers.others", NeedsRestart, &Settings::peers, &PeersSettings::others),
        descriptor("peers.open", NeedsRestart, &Settings::peers, &PeersSettings::openMembership),
        descriptor("endpoints.connect_timeout", AtRunTime, &Settings::endpoints, &EndpointSettings::connectTimeout),
        descriptor("endpoints.first_byte_timeout", AtRunTime, &Settings::endpoints, &EndpointSettings::firstByteTimeout),
        descriptor("endpoints.between_bytes_timeout", AtRunTime, &Settings::endpoints, &EndpointSettings::betweenBytesTimeout),
        descriptor("endpoints.report_period", AtRunTime, &Settings::endpoints, &EndpointSettings::reportPeriod),
        descriptor("endpoints.idle_connections", AtRunTime, &Settings::endpoints, &EndpointSettings::idleConnections),
        descriptor("control.heartbeat", NeedsRestart, &Settings::control, &ControlSettings::heartbeat),
        descriptor("control.election_timeout", NeedsRestart, &Settings::control, &ControlSettings::electionTimeout),
        descriptor("control.lease", NeedsRestart, &Settings::control, &ControlSettings::lease),
        descriptor("control.may_begin_group", NeedsRestart, &Settings::control, &ControlSettings::mayCreateGroup),
        descriptor("control.key_retention", NeedsRestart, &Settings::control, &ControlSettings::keyRetention),
        descriptor("control.attainment_weight", AtRunTime, &Settings::control, &ControlSettings::attainmentWeight),
        descriptor("control.move_weight", AtRunTime, &Settings::control, &ControlSettings::moveWeight),
        descriptor("control.loads_per_second", AtRunTime, &Settings::control, &ControlSettings::loadsPerSecond),
        descriptor("control.concurrent_loads", AtRunTime, &Settings::control, &ControlSettings::concurrentLoads),
        descriptor("control.concurrent_adapter_loads", AtRunTime, &Settings::control, &ControlSettings::concurrentAdapterLoads),
        descriptor("machine.memory", NeedsRestart, &Settings::machine, &MachineSettings::memory),
        descriptor("machine.descriptors", NeedsRestart, &Settings::machine, &MachineSettings::descriptors),
        descriptor("data_folder", NeedsRestart, &Settings::dataFolder),
    };
    return table;
}

} // namespace

std::vector<SettingChange> compareSettings(const Settings &before, const Settings &after)
{
    std::vector<SettingChange> changes;
    for (const SettingDescriptor &setting : settingDescriptors()) {
        if (setting.differs(before, after)) {
            changes.push_back({setting.path, setting.effect});
        }
    }
    return changes;
}

Settings withRunTimeChanges(const Settings &before, const Settings &after)
{
    Settings settings = before;
    for (const SettingDescriptor &setting : settingDescriptors()) {
        if (setting.effect == ChangeEffect::AtRunTime) {
            setting.copy(settings, after);
        }
    }
    return settings;
}

ControlSettings withRegionSettings(ControlSettings control, const std::map<RegionSetting, double> &set)
{
    for (const auto &[setting, value] : set) {
        switch (setting) {
        case RegionSetting::AttainmentWeight:
            control.attainmentWeight = value;
            break;
        case RegionSetting::MoveWeight:
            control.moveWeight = value;
            break;
        case RegionSetting::LoadsPerSecond:
            control.loadsPerSecond = value;
            break;
        case RegionSetting::ConcurrentLoads:
            control.concurrentLoads = static_cast<std::uint32_t>(std::lround(value));
            break;
        case RegionSetting::ConcurrentAdapterLoads:
            control.concurrentAdapterLoads = static_cast<std::uint32_t>(std::lround(value));
            break;
        }
    }
    return control;
}

std::map<RegionSetting, double> regionDefaults(const ControlSettings &control)
{
    return {{RegionSetting::AttainmentWeight, control.attainmentWeight},
            {RegionSetting::MoveWeight, control.moveWeight},
            {RegionSetting::LoadsPerSecond, control.loadsPerSecond},
            {RegionSetting::ConcurrentLoads, control.concurrentLoads},
            {RegionSetting::ConcurrentAdapterLoads, control.concurrentAdapterLoads}};
}

} // namespace Hemlockhill
