// What the leader tells its followers of the endpoints: the whole directory once, and then what changes.
//
// A follower names the revision that it holds and gets the entries that changed since, so that the bytes and the processor time of a
// change do not grow with the number of endpoints. A pure core.
#pragma once

#include "hemlockhill/consensus.h"
#include "hemlockhill/endpoint_directory.h"

#include <map>
#include <string>
#include <string_view>

namespace Hemlockhill
{

// Counts the changes of a leader's directory. The leader's term is its upper half, so that revisions of two leaders never meet.
using DirectoryRevision = Quantity<struct DirectoryRevisionTag>;

class DirectoryHistory
{
public:
    // Begins the directory of a term, empty.
    explicit DirectoryHistory(Term term);

    // Takes over the present endpoints. Whether anything changed that followers should know.
    bool update(const EndpointsById &endpoints);
    DirectoryRevision revision() const { return m_revision; }
    // What brings a directory of that revision to the present one, as text; the whole when the revision is another leader's.
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
    // Many followers ask from the same revision.
    mutable std::map<DirectoryRevision, std::string> m_texts;
};

// A follower's copy of the leader's directory.
class DirectoryReplica
{
public:
    // Takes over what changesSince() gave. False when it does not continue the present revision, as answers may overtake each other.
    // Throws DecodeError when the text cannot be read, and then leaves the copy as it was.
    bool apply(std::string_view changes);
    // The next changes to take over are the whole directory.
    void forget() { m_revision = DirectoryRevision{}; }

    DirectoryRevision revision() const { return m_revision; }
    const EndpointsById &endpoints() const { return m_endpoints; }

private:
    DirectoryRevision m_revision;
    EndpointsById m_endpoints;
};

} // namespace Hemlockhill
