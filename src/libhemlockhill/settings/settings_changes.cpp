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
struct Member {
    std::string path;
    ChangeEffect effect = ChangeEffect::NeedsRestart;
    std::function<bool(const Settings &, const Settings &)> differs;
    std::function<void(Settings &, const Settings &)> take;
};

template<typename Value>
Member member(std::string_view name, ChangeEffect effect, Value Settings::*value)
{
    return {"$." + std::string(name),
            effect,
            [value](const Settings &left, const Settings &right) { return left.*value != right.*value; },
            [value](Settings &target, const Settings &source) { target.*value = source.*value; }};
}

template<typename Section, typename Value>
Member member(std::string_view name, ChangeEffect effect, Section Settings::*section, Value Section::*value)
{
    return {"$." + std::string(name),
            effect,
            [=](const Settings &left, const Settings &right) { return left.*section.*value != right.*section.*value; },
            [=](Settings &target, const Settings &source) { target.*section.*value = source.*section.*value; }};
}

const std::vector<Member> &members()
{
    using enum ChangeEffect;
    static const std::vector<Member> table{
        member("cluster", NeedsRestart, &Settings::cluster),
        member("vm", NeedsRestart, &Settings::vm),
        member("data_centre", NeedsRestart, &Settings::dataCentre),
        member("callers.listen", NeedsRestart, &Settings::callers, &CallerSettings::listen),
        member("callers.header_limit", AtRunTime, &Settings::callers, &CallerSettings::headerLimit),
        member("callers.body_limit", AtRunTime, &Settings::callers, &CallerSettings::bodyLimit),
        member("callers.request_timeout", AtRunTime, &Settings::callers, &CallerSettings::requestTimeout),
        member("callers.idle_timeout", AtRunTime, &Settings::callers, &CallerSettings::idleTimeout),
        member("callers.connection_limit", AtRunTime, &Settings::callers, &CallerSettings::connectionLimit),
        member("callers.request_limit", AtRunTime, &Settings::callers, &CallerSettings::requestLimit),
        member("operators.listen", NeedsRestart, &Settings::operators, &OperatorSettings::listen),
        member("peers.listen", NeedsRestart, &Settings::peers, &PeersSettings::listen),
        member("peers.others", NeedsRestart, &Settings::peers, &PeersSettings::others),
        member("peers.open", NeedsRestart, &Settings::peers, &PeersSettings::open),
        member("endpoints.connect_timeout", AtRunTime, &Settings::endpoints, &EndpointSettings::connectTimeout),
        member("endpoints.first_byte_timeout", AtRunTime, &Settings::endpoints, &EndpointSettings::firstByteTimeout),
        member("endpoints.between_bytes_timeout", AtRunTime, &Settings::endpoints, &EndpointSettings::betweenBytesTimeout),
        member("endpoints.report_period", AtRunTime, &Settings::endpoints, &EndpointSettings::reportPeriod),
        member("endpoints.idle_connections", AtRunTime, &Settings::endpoints, &EndpointSettings::idleConnections),
        member("control.heartbeat", NeedsRestart, &Settings::control, &ControlSettings::heartbeat),
        member("control.election_timeout", NeedsRestart, &Settings::control, &ControlSettings::electionTimeout),
        member("control.lease", NeedsRestart, &Settings::control, &ControlSettings::lease),
        member("control.may_begin_group", NeedsRestart, &Settings::control, &ControlSettings::mayBeginGroup),
        member("control.key_retention", NeedsRestart, &Settings::control, &ControlSettings::keyRetention),
        member("control.attainment_weight", AtRunTime, &Settings::control, &ControlSettings::attainmentWeight),
        member("control.move_weight", AtRunTime, &Settings::control, &ControlSettings::moveWeight),
        member("control.loads_per_second", AtRunTime, &Settings::control, &ControlSettings::loadsPerSecond),
        member("control.concurrent_loads", AtRunTime, &Settings::control, &ControlSettings::concurrentLoads),
        member("control.concurrent_adapter_loads", AtRunTime, &Settings::control, &ControlSettings::concurrentAdapterLoads),
        member("data_folder", NeedsRestart, &Settings::dataFolder),
    };
    return table;
}

} // namespace

std::vector<SettingChange> compareSettings(const Settings &before, const Settings &after)
{
    std::vector<SettingChange> changes;
    for (const Member &setting : members()) {
        if (setting.differs(before, after)) {
            changes.push_back({setting.path, setting.effect});
        }
    }
    return changes;
}

Settings withRunTimeChanges(const Settings &before, const Settings &after)
{
    Settings settings = before;
    for (const Member &setting : members()) {
        if (setting.effect == ChangeEffect::AtRunTime) {
            setting.take(settings, after);
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
