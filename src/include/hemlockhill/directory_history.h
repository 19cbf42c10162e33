// Incremental replication of the endpoint directory from the leader to its followers.
//
// A follower sends the revision that it has and receives the entries that changed since then, so that the size and the processing time
// of a change do not grow with the number of endpoints. Deterministic, without I/O.
#pragma once

#include "hemlockhill/consensus.h"
#include "hemlockhill/endpoint_directory.h"

#include <map>
#include <string>
#include <string_view>

namespace Hemlockhill
{

// Revision number of a leader's directory. The upper 32 bits are the leader's term, so that the revisions of two leaders never
// coincide.
using DirectoryRevision = Quantity<struct DirectoryRevisionTag>;

class DirectoryHistory
{
public:
    // Starts an empty directory for a term.
    explicit DirectoryHistory(Term term);

    // Replaces the directory with the given endpoints. Returns whether anything changed that followers need to know.
    bool update(const EndpointsById &endpoints);
    DirectoryRevision revision() const { return m_revision; }
    // Returns the changes from the given revision to the current one as JSON text, or the full directory when the revision is unknown
    // or belongs to another leader.
    const std::string &changesSince(DirectoryRevision known) const;

private:
    struct Entry {
        LiveEndpoint endpoint;
        DirectoryRevision changedAt;
    };

    DirectoryRevision m_first;
    DirectoryRevision m_revision;
    std::map<EndpointId, Entry> m_entries;
    std::map<EndpointId, DirectoryRevision> m_removed;
    // Encoded changes by starting revision, because many followers request the same ones.
    mutable std::map<DirectoryRevision, std::string> m_encodedChanges;
};

// A follower's replica of the leader's directory.
class DirectoryReplica
{
public:
    // Applies the result of changesSince(). Returns false and changes nothing when it does not continue the current revision, because
    // replies can arrive out of order. Throws DecodeError when the text is malformed, and leaves the replica unchanged.
    bool apply(std::string_view changes);
    // Resets the revision, so that the next request fetches the full directory.
    void invalidate() { m_revision = DirectoryRevision{}; }

    DirectoryRevision revision() const { return m_revision; }
    const EndpointsById &endpoints() const { return m_endpoints; }

private:
    DirectoryRevision m_revision;
    EndpointsById m_endpoints;
};

} // namespace Hemlockhill
