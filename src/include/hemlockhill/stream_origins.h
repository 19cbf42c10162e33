// Remembers which software version began each resumable stream, so that the stream goes on at the same version whichever node its caller
// comes back to.
//
// The node that forwards a stream's first event keeps its origin and sends it to a few owners, which rendezvous hashing selects among the
// other nodes. A node that does not know a stream asks the owners, then some further nodes. Deterministic, without I/O: messages may be
// lost, late or repeated.
#pragma once

#include "hemlockhill/metrics.h"
#include "hemlockhill/world.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <variant>
#include <vector>

namespace Hemlockhill
{

// The request that brought a stream's first event, and the software version of the endpoint that wrote it.
struct StreamOrigin {
    RequestId request;
    SoftwareVersion version;

    bool operator==(const StreamOrigin &) const = default;
};

// Asks a node for the origin of a stream.
struct StreamOriginQuery {
    RequestId request;

    bool operator==(const StreamOriginQuery &) const = default;
};

// Answers a query. The version is empty if the node does not know the stream.
struct StreamOriginReply {
    RequestId request;
    SoftwareVersion version;

    bool operator==(const StreamOriginReply &) const = default;
};

using StreamOriginMessage = std::variant<StreamOrigin, StreamOriginQuery, StreamOriginReply>;

struct StreamOriginLimits {
    // Maximum number of origins kept; the oldest are dropped first.
    std::size_t origins = 50'000;
    // How long an origin is kept. Longer than callers come back for the rest of a stream.
    Duration retention = std::chrono::minutes(5);
    // Number of nodes to which an origin is sent.
    std::size_t owners = 3;
    // Maximum number of further nodes that are asked if no owner knows the stream.
    std::size_t furtherNodes = 16;
    // Timeout of the queries to the owners, and of those to the further nodes.
    Duration answerTimeout = std::chrono::milliseconds(100);
    // Maximum number of streams that are looked up at once. The callers of further ones are told that their stream is unknown.
    std::size_t lookups = 1'000;
};

// How the origin of a stream became known.
enum class OriginSource { OwnMemory, OtherNode, Nowhere };

std::string_view toText(OriginSource source);

// The result of a lookup. The version is empty if no node that answered knows the stream.
struct OriginLookupResult {
    SoftwareVersion version;
    OriginSource source = OriginSource::Nowhere;
};

class StreamOrigins
{
public:
    using Send = std::function<void(const VmId &to, const StreamOriginMessage &message)>;
    using Found = std::function<void(const OriginLookupResult &result)>;

    StreamOrigins(VmId self, StreamOriginLimits limits, Metrics &metrics, Send send);

    // Sets the nodes among which owners are selected.
    void setNodes(const std::vector<VmId> &nodes);
    // This node forwards the first event of a stream.
    void onStreamBegun(const StreamOrigin &origin, TimePoint now);
    // Looks up a stream. Calls `found` exactly once, either immediately or from onMessage() or tick().
    void find(const RequestId &request, Found found, TimePoint now);
    void onMessage(const VmId &from, const StreamOriginMessage &message, TimePoint now);
    // Ends queries whose timeout has expired. Does nothing while no stream is being looked up.
    void tick(TimePoint now);

    bool isLookingUp() const { return !m_lookups.empty(); }
    std::size_t size() const { return m_origins.size(); }

private:
    struct Entry {
        SoftwareVersion version;
        TimePoint recordedAt;
    };

    struct Lookup {
        std::vector<Found> found;
        std::set<VmId> awaited;
        TimePoint timeoutAt;
        bool askedFurtherNodes = false;
    };
    using Lookups = std::map<RequestId, Lookup>;

    void handle(const VmId &from, const StreamOrigin &origin, TimePoint now);
    void handle(const VmId &from, const StreamOriginQuery &query, TimePoint now);
    void handle(const VmId &from, const StreamOriginReply &reply, TimePoint now);
    void store(const StreamOrigin &origin, TimePoint now);
    void dropOutdated(TimePoint now);
    SoftwareVersion knownVersion(const RequestId &request, TimePoint now);
    // Asks the nodes at these positions of the ranking.
    void ask(const RequestId &request, Lookup &lookup, std::size_t first, std::size_t end, TimePoint now);
    // Proceeds with a lookup whose queries have been answered in vain or timed out.
    void proceed(Lookups::iterator lookup, TimePoint now);
    void finish(Lookups::iterator lookup, const OriginLookupResult &result);

    VmId m_self;
    StreamOriginLimits m_limits;
    Metrics &m_metrics;
    Send m_send;
    // All nodes but this one.
    std::vector<VmId> m_others;
    std::map<RequestId, Entry> m_origins;
    // Requests in the order in which their origins were recorded.
    std::deque<RequestId> m_byAge;
    Lookups m_lookups;
};

} // namespace Hemlockhill
