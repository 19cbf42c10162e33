// Parser of settings files.
#include "hemlockhill/settings.h"

#include "object_reader.h"
#include "settings_checks.h"

#include <boost/json/parse.hpp>

#include <fstream>
#include <iterator>
#include <utility>

namespace Hemlockhill
{

namespace
{

void readCallers(ObjectReader &reader, CallerSettings &callers)
{
    callers.listen = reader.requiredAddress("listen");
    callers.headerLimit = reader.bytes("header_limit", callers.headerLimit);
    callers.bodyLimit = reader.bytes("body_limit", callers.bodyLimit);
    callers.requestTimeout = reader.duration("request_timeout", callers.requestTimeout);
    callers.idleTimeout = reader.duration("idle_timeout", callers.idleTimeout);
    callers.connectionLimit = reader.positiveInteger("connection_limit", callers.connectionLimit);
    callers.requestLimit = reader.positiveInteger("request_limit", callers.requestLimit);
}

PeerSettings readPeer(ObjectReader &reader)
{
    PeerSettings peer;
    peer.vm = VmId{reader.requiredName("vm")};
    peer.dataCentre = DataCentreId{reader.requiredName("data_centre")};
    peer.address = reader.requiredAddress("address");
    peer.controller = reader.boolean("controller", peer.controller);
    return peer;
}

void readPeers(ObjectReader &reader, PeersSettings &peers)
{
    peers.listen = reader.requiredAddress("listen");
    peers.openMembership = reader.boolean("open", peers.openMembership);
    reader.objects("others", [&peers](ObjectReader &element) { peers.others.push_back(readPeer(element)); });
}

void readEndpoints(ObjectReader &reader, EndpointSettings &endpoints)
{
    endpoints.connectTimeout = reader.duration("connect_timeout", endpoints.connectTimeout);
    endpoints.firstByteTimeout = reader.duration("first_byte_timeout", endpoints.firstByteTimeout);
    endpoints.betweenBytesTimeout = reader.duration("between_bytes_timeout", endpoints.betweenBytesTimeout);
    endpoints.reportPeriod = reader.duration("report_period", endpoints.reportPeriod);
    endpoints.idleConnections = reader.positiveInteger("idle_connections", endpoints.idleConnections);
}

void readControl(ObjectReader &reader, ControlSettings &control)
{
    control.heartbeat = reader.duration("heartbeat", control.heartbeat);
    control.electionTimeout = reader.duration("election_timeout", control.electionTimeout);
    control.lease = reader.duration("lease", control.lease);
    control.mayCreateGroup = reader.boolean("may_begin_group", control.mayCreateGroup);
    control.keyRetention = reader.duration("key_retention", control.keyRetention);
    control.attainmentWeight = reader.positiveNumber("attainment_weight", control.attainmentWeight);
    control.moveWeight = reader.positiveNumber("move_weight", control.moveWeight);
    control.loadsPerSecond = reader.positiveNumber("loads_per_second", control.loadsPerSecond);
    control.concurrentLoads = reader.positiveInteger("concurrent_loads", control.concurrentLoads);
    control.concurrentAdapterLoads = reader.positiveInteger("concurrent_adapter_loads", control.concurrentAdapterLoads);
    if (control.heartbeat > control.electionTimeout / 3) {
        reader.fault("election_timeout", "must be at least three heartbeats");
    }
    if (control.lease < control.electionTimeout) {
        reader.fault("lease", "must be at least the election timeout");
    }
    if (control.keyRetention < control.lease) {
        reader.fault("key_retention", "must be at least the lease");
    }
}

void readMachine(ObjectReader &reader, MachineSettings &machine)
{
    machine.memory = reader.optionalBytes("memory");
    machine.descriptors = reader.optionalPositiveInteger("descriptors");
}

} // namespace

Settings parseSettings(std::string_view text)
{
    boost::json::error_code error;
    const boost::json::value document = boost::json::parse(text, error);
    if (error) {
        throw SettingsError({{"$", "is not valid JSON: " + error.message()}});
    }
    std::vector<SettingsFault> faults;
    Settings settings;
    ObjectReader reader(document, "$", faults);
    settings.cluster = ClusterId{reader.requiredName("cluster")};
    settings.vm = VmId{reader.requiredName("vm")};
    settings.dataCentre = DataCentreId{reader.requiredName("data_centre")};
    reader.object("callers", true, [&](ObjectReader &member) { readCallers(member, settings.callers); });
    reader.object("operators", true, [&](ObjectReader &member) { settings.operators.listen = member.requiredAddress("listen"); });
    reader.object("peers", true, [&](ObjectReader &member) { readPeers(member, settings.peers); });
    reader.object("endpoints", false, [&](ObjectReader &member) { readEndpoints(member, settings.endpoints); });
    reader.object("control", false, [&](ObjectReader &member) { readControl(member, settings.control); });
    reader.object("machine", false, [&](ObjectReader &member) { readMachine(member, settings.machine); });
    if (const auto folder = reader.optionalText("data_folder")) {
        settings.dataFolder = *folder;
    }
    reader.finish();
    checkConsistency(settings, faults);
    if (!faults.empty()) {
        throw SettingsError(std::move(faults));
    }
    return settings;
}

Settings readSettings(const std::filesystem::path &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        throw EnvironmentError("cannot read " + file.string());
    }
    const std::string text{std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
    return parseSettings(text);
}

} // namespace Hemlockhill
