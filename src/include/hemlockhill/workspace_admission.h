// Whether a request may run by the key that it carries. Deterministic, without I/O.
//
// A key that a newer document takes away must stop working everywhere within a bounded time, also at nodes that cannot hear of that
// document. So a key counts only while the node knows that its document was the newest one a short time ago; without that knowledge a
// request is refused as not run. Likewise a key is called unknown only while no newer document can have added it.
#pragma once

#include "hemlockhill/deployment.h"
#include "hemlockhill/failure.h"
#include "hemlockhill/world.h"

#include <optional>
#include <string_view>

namespace Hemlockhill
{

// What the age of the document in force means for keys.
struct KeyLimits {
    // Time within which a key that was taken away stops working at every node. Empty if a key works by the document in force,
    // whatever its age.
    std::optional<Duration> revocation;
    // Time within which nodes in contact with the controllers have a new document in force.
    Duration propagation = std::chrono::milliseconds(2500);
};

// Time since the document in force was certainly the newest one.
class DocumentAge
{
public:
    // The leader has confirmed that no document was newer at the given time.
    void onConfirmed(BootTimePoint at);
    // Returns the longest duration there is if nothing has been confirmed.
    Duration at(BootTimePoint now) const;

private:
    std::optional<BootTimePoint> m_confirmedAt;
};

enum class KeyVerdict {
    Accepted,
    // No document that can be in force allows the request.
    Rejected,
    // It depends on a document that this node may not know.
    Uncertain
};

// The reason and the explanation with which a request is refused that is not accepted.
Reason refusalReason(KeyVerdict verdict);
std::string_view refusalDetail(KeyVerdict verdict);

struct WorkspaceAdmission {
    KeyVerdict verdict = KeyVerdict::Accepted;
    // The workspace that the request belongs to; null if it belongs to none. Owned by the deployment.
    const Workspace *workspace = nullptr;
};

// Decides on a request for a route of the deployment. The age is that of the deployment's document.
WorkspaceAdmission
admitByKey(const Deployment &deployment, const Route &route, const Credential &credential, Duration age, const KeyLimits &limits);

} // namespace Hemlockhill
