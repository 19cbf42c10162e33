// Consistency checks across several settings.
#include "settings_checks.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace Hemlockhill
{

namespace
{

constexpr std::ptrdiff_t MaxControllers = 7;
// With less, the program and one request of the largest size do not fit beside each other.
constexpr Bytes MinMemory{64'000'000};
// Parsing a body of many small values takes some 30 times its size for a moment, and half of the memory is left for that.
constexpr std::uint64_t MinBodiesInMemory = 64;
// With fewer, none are left for callers beside files, links between nodes and operators.
constexpr std::uint32_t MinDescriptors = 256;

bool isUnspecified(const Address &address)
{
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(address.host, error);
    return !error && ip.is_unspecified();
}

// Two listeners on the same port conflict when their addresses are equal or one of them listens on all addresses of the machine.
bool conflicts(const Address &left, const Address &right)
{
    return left.port == right.port && (left.host == right.host || isUnspecified(left) || isUnspecified(right));
}

struct NamedAddress {
    Address address;
    std::string path;
};

class ConsistencyChecker
{
public:
    ConsistencyChecker(const Settings &settings, std::vector<SettingsFault> &faults)
        : m_settings(settings)
        , m_faults(faults)
    {
    }

    void checkAll()
    {
        checkListeners();
        checkPeers();
        checkControllers();
        checkMachine();
    }

private:
    void fault(std::string path, std::string problem) { m_faults.push_back({std::move(path), std::move(problem)}); }

    void checkListeners()
    {
        listen(m_settings.callers.listen, "$.callers.listen");
        listen(m_settings.operators.listen, "$.operators.listen");
        listen(m_settings.peers.listen, "$.peers.listen");
    }

    void listen(const Address &address, std::string path)
    {
        if (address.port == 0) {
            return;
        }
        for (const NamedAddress &other : m_listeners) {
            if (conflicts(address, other.address)) {
                fault(std::move(path), "is the same address as " + other.path);
                return;
            }
        }
        m_listeners.push_back({address, std::move(path)});
    }

    void checkPeers()
    {
        std::set<VmId> vms{m_settings.vm};
        std::vector<NamedAddress> usedAddresses = m_listeners;
        for (std::size_t index = 0; index < m_settings.peers.others.size(); ++index) {
            const PeerSettings &peer = m_settings.peers.others[index];
            const std::string path = "$.peers.others[" + std::to_string(index) + "]";
            if (!peer.vm.empty() && !vms.insert(peer.vm).second) {
                fault(path + ".vm", "repeats the name of this VM or of an earlier entry");
            }
            if (peer.address.port == 0) {
                continue;
            }
            if (isUnspecified(peer.address)) {
                fault(path + ".address", "must be a reachable address, not an unspecified one such as 0.0.0.0");
                continue;
            }
            const auto same = [&peer](const NamedAddress &other) { return other.address == peer.address; };
            const auto other = std::find_if(usedAddresses.begin(), usedAddresses.end(), same);
            if (other != usedAddresses.end()) {
                fault(path + ".address", "is the same address as " + other->path);
            }
            usedAddresses.push_back({peer.address, path + ".address"});
        }
    }

    void checkControllers()
    {
        const auto &others = m_settings.peers.others;
        const auto isController = [](const PeerSettings &peer) { return peer.controller; };
        const auto controllers = std::count_if(others.begin(), others.end(), isController) + (m_settings.dataFolder ? 1 : 0);
        if (controllers > MaxControllers) {
            fault("$.peers.others", "lists more than " + std::to_string(MaxControllers) + " controllers, including this VM");
        }
        if (controllers == 0 && !others.empty()) {
            fault("$.peers.others", "lists no controller, and this VM has no data_folder");
        }
    }

    void checkMachine()
    {
        const MachineSettings &machine = m_settings.machine;
        if (machine.memory && *machine.memory < MinMemory) {
            fault("$.machine.memory", "must be at least " + formatBytes(MinMemory));
        } else if (machine.memory && machine.memory->value / MinBodiesInMemory < m_settings.callers.bodyLimit.value) {
            fault("$.machine.memory", "must be at least " + std::to_string(MinBodiesInMemory) + " times callers.body_limit");
        }
        if (machine.descriptors && *machine.descriptors < MinDescriptors) {
            fault("$.machine.descriptors", "must be at least " + std::to_string(MinDescriptors));
        }
    }

    const Settings &m_settings;
    std::vector<SettingsFault> &m_faults;
    std::vector<NamedAddress> m_listeners;
};

} // namespace

void checkConsistency(const Settings &settings, std::vector<SettingsFault> &faults)
{
    ConsistencyChecker(settings, faults).checkAll();
}

} // namespace Hemlockhill
