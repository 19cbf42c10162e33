// Settings of one node, read from a strict JSON file. Unknown keys are faults, and all faults of a file are reported together.
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

// Listener and limits for connections from callers.
struct CallerSettings {
    Address listen;
    Bytes headerLimit{16'000};
    Bytes bodyLimit{4'000'000};
    // Maximum time from the first to the last byte of a request.
    Duration requestTimeout = std::chrono::seconds(10);
    // Maximum time between two requests on one connection.
    Duration idleTimeout = std::chrono::seconds(60);
    std::uint32_t connectionLimit = 10'000;
    // Maximum number of concurrent requests on this node.
    std::uint32_t requestLimit = 4'000;
};

// What the node may use of its machine.
struct MachineSettings {
    // Empty if it is not named.
    std::optional<Bytes> memory;
    // Number of files and sockets that the process may have open; empty if it is not named.
    std::optional<std::uint32_t> descriptors;
};

// Listener for operator statements.
struct OperatorSettings {
    Address listen;
};

// Another VM of the cluster.
struct PeerSettings {
    VmId vm;
    DataCentreId dataCentre;
    Address address;
    // True when the VM has a data folder and may be a voter.
    bool controller = false;

    bool operator==(const PeerSettings &) const = default;
};

// Listener for the other VMs, and their addresses.
struct PeersSettings {
    Address listen;
    std::vector<PeerSettings> others;
    // True when VMs that are not listed may join. The listed controllers are then the seed nodes through which a node finds the consensus
    // group.
    bool openMembership = false;
    // Connections that other nodes may hold open to this one, and bytes of their messages that may arrive at one time.
    std::uint32_t connectionLimit = 1024;
    Bytes arrivingLimit{134'217'728};
};

// Timeouts and connection pool for engine endpoints.
struct EndpointSettings {
    Duration connectTimeout = std::chrono::seconds(1);
    Duration firstByteTimeout = std::chrono::seconds(10);
    Duration betweenBytesTimeout = std::chrono::seconds(2);
    Duration reportPeriod = std::chrono::milliseconds(500);
    std::uint32_t idleConnections = 32;
};

// Consensus, lease and placement settings.
struct ControlSettings {
    Duration heartbeat = std::chrono::milliseconds(100);
    Duration electionTimeout = std::chrono::milliseconds(600);
    // Maximum time that a node serves requests without a message from the leader.
    Duration lease = std::chrono::milliseconds(1000);
    // Number of simultaneous controller failures to tolerate. An unresponsive controller is removed from an open group only while at least
    // twice this number plus one voters respond.
    std::uint32_t toleratedFailures = 1;
    // False on a VM that may have belonged to a consensus group before, and so must join an existing group instead of creating one.
    bool mayCreateGroup = true;
    // Retention time of the claim and the answer of an idempotency key.
    Duration keyRetention = std::chrono::hours(24);
    // Weights of target attainment and of moves in the placement objective.
    double attainmentWeight = 1.0;
    double moveWeight = 1.0;
    // Rate limit of the weight store.
    double loadsPerSecond = 1.4;
    // Maximum number of concurrent model loads.
    std::uint32_t concurrentLoads = 11;
    // Maximum number of concurrent adapter loads.
    std::uint32_t concurrentAdapterLoads = 90;
};

// All settings of one node.
struct Settings {
    ClusterId cluster;
    VmId vm;
    DataCentreId dataCentre;
    CallerSettings callers;
    OperatorSettings operators;
    PeersSettings peers;
    EndpointSettings endpoints;
    ControlSettings control;
    MachineSettings machine;
    // Folder for durable state. Present on a VM that may be a controller.
    std::optional<std::filesystem::path> dataFolder;
};

// Whether a running node can apply a changed setting.
enum class ChangeEffect { AtRunTime, NeedsRestart };

// A setting with different values in two settings files, identified by its JSON path such as "$.callers.listen".
struct SettingChange {
    std::string path;
    ChangeEffect effect = ChangeEffect::NeedsRestart;

    bool operator==(const SettingChange &) const = default;
};

// Returns the settings that differ, in the order of the sections of the file.
std::vector<SettingChange> compareSettings(const Settings &before, const Settings &after);

// Returns the settings before, with all settings that can change at run time taken from the settings after.
Settings withRunTimeChanges(const Settings &before, const Settings &after);

// Returns the control settings, overridden by the values that operators have set for the region.
ControlSettings withRegionSettings(ControlSettings control, const std::map<RegionSetting, double> &set);

// Returns the values from the settings file that operators can override for the region.
std::map<RegionSetting, double> regionDefaults(const ControlSettings &control);

// Parses the text of a settings file. Throws SettingsError with all faults found.
Settings parseSettings(std::string_view text);

// Reads and parses a settings file. Throws EnvironmentError when it cannot be read, and SettingsError when it has faults.
Settings readSettings(const std::filesystem::path &file);

} // namespace Hemlockhill
