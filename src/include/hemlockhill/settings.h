// Settings of one node: strict JSON, where an unknown key is a fault and every fault is reported at once.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/region_state.h"
#include "hemlockhill/world.h"

#include <filesystem>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// Limits on what callers may send and how long they may take.
struct CallerSettings {
    Address listen;
    Bytes headerLimit{16'000};
    Bytes bodyLimit{4'000'000};
    // From the first byte of a request to its last.
    Duration requestTimeout = std::chrono::seconds(10);
    // Between two requests on one connection.
    Duration idleTimeout = std::chrono::seconds(60);
    std::uint32_t connectionLimit = 10'000;
    // Requests in progress at one time on this node.
    std::uint32_t requestLimit = 4'000;
};

struct OperatorSettings {
    Address listen;
};

// Another VM of the system.
struct PeerSettings {
    VmId vm;
    DataCentreId dataCentre;
    Address address;
    // True when that VM has a data folder and may vote.
    bool controller = false;

    bool operator==(const PeerSettings &) const = default;
};

struct PeersSettings {
    Address listen;
    std::vector<PeerSettings> others;
    // True when VMs that are not listed may join. The listed controllers are then the seeds by which a node finds the group.
    bool open = false;
};

struct EndpointSettings {
    Duration connectTimeout = std::chrono::seconds(1);
    Duration firstByteTimeout = std::chrono::seconds(10);
    Duration betweenBytesTimeout = std::chrono::seconds(2);
    Duration reportPeriod = std::chrono::milliseconds(500);
    std::uint32_t idleConnections = 32;
};

struct ControlSettings {
    Duration heartbeat = std::chrono::milliseconds(100);
    Duration electionTimeout = std::chrono::milliseconds(600);
    // How long a node may serve without having heard from the leader.
    Duration lease = std::chrono::milliseconds(1000);
    // Controllers that may be lost at one time. A silent one is removed from an open group only while voters enough for that answer.
    std::uint32_t losses = 1;
    // False on a VM that must join a group that exists, since it may have belonged to one before.
    bool mayBeginGroup = true;
    // How long the answer and claim of an idempotency key are kept.
    Duration keyRetention = std::chrono::hours(24);
    // Weights of the placement objective.
    double attainmentWeight = 1.0;
    double moveWeight = 1.0;
    // The weight store's pace.
    double loadsPerSecond = 1.4;
    std::uint32_t concurrentLoads = 11;
    std::uint32_t concurrentAdapterLoads = 90;
};

struct Settings {
    ClusterId cluster;
    VmId vm;
    DataCentreId dataCentre;
    CallerSettings callers;
    OperatorSettings operators;
    PeersSettings peers;
    EndpointSettings endpoints;
    ControlSettings control;
    // Present on a VM with a disk, which may then be a controller.
    std::optional<std::filesystem::path> dataFolder;
};

// Whether a changed setting can be taken over by a running node.
enum class ChangeEffect { AtRunTime, NeedsRestart };

// A setting that differs between two settings, by its JSON path.
struct SettingChange {
    std::string path;
    ChangeEffect effect = ChangeEffect::NeedsRestart;

    bool operator==(const SettingChange &) const = default;
};

// The settings that differ, in the order of the file's sections.
std::vector<SettingChange> compareSettings(const Settings &before, const Settings &after);

// The old settings with the changes that need no restart taken over from the new ones.
Settings withRunTimeChanges(const Settings &before, const Settings &after);

// The control settings with the values that operators have set for the region.
ControlSettings withRegionSettings(ControlSettings control, const std::map<RegionSetting, double> &set);

// The values of a settings file that operators may replace.
std::map<RegionSetting, double> regionDefaults(const ControlSettings &control);

// Parses the text of a settings file. Throws SettingsError with every fault found.
Settings parseSettings(std::string_view text);

// Reads and parses a settings file. Throws EnvironmentError when it cannot be read, SettingsError when it is faulty.
Settings readSettings(const std::filesystem::path &file);

} // namespace Hemlockhill
