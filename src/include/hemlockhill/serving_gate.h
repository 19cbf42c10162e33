// State shared between the control thread and the caller thread: until when this node may serve, and which revision it applies.
#pragma once

#include "hemlockhill/world.h"

#include <atomic>

namespace Hemlockhill
{

// Thread-safe. The caller thread compares the expiry time with the clock for every request instead of reading a flag: a process that
// was suspended must not serve on an expired lease after it resumes.
class ServingGate
{
public:
    // Sets the expiry time. Called by the control thread.
    void openUntil(TimePoint until) { m_until.store(until.time_since_epoch().count()); }
    bool isOpen(TimePoint now) const { return now.time_since_epoch().count() < m_until.load(); }

    // Sets the revision by which requests are now served. Called by the caller thread.
    void setRevisionInForce(Revision revision) { m_revision.store(revision.value); }
    Revision revisionInForce() const { return Revision{m_revision.load()}; }

private:
    std::atomic<Duration::rep> m_until{0};
    std::atomic<std::uint64_t> m_revision{0};
};

} // namespace Hemlockhill
