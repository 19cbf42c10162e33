// Verdicts on keys by the document in force and its age.
#include "hemlockhill/workspace_admission.h"

#include <algorithm>

namespace Hemlockhill
{

namespace
{

// Fraction of the revocation time up to which keys count. The rest allows for clocks that run at slightly different rates, and for requests
// that were sent while this node was about to decide.
constexpr double UsableRevocationRatio = 0.75;

const Workspace *workspaceOf(const Deployment &deployment, const Credential &credential)
{
    const WorkspaceId *id = credential.kind == Credential::Kind::Key ? deployment.keys.find(credential.key) : nullptr;
    const auto found = id == nullptr ? deployment.workspaces.end() : deployment.workspaces.find(*id);
    return found == deployment.workspaces.end() ? nullptr : &found->second;
}

bool mayBeRevoked(Duration age, const KeyLimits &limits)
{
    return limits.revocation && age >= std::chrono::duration_cast<Duration>(*limits.revocation * UsableRevocationRatio);
}

} // namespace

Reason refusalReason(KeyVerdict verdict)
{
    return verdict == KeyVerdict::Rejected ? Reason::Unauthenticated : Reason::ConfigurationOutdated;
}

std::string_view refusalDetail(KeyVerdict verdict)
{
    return verdict == KeyVerdict::Rejected ? "no workspace has this key" : "this node cannot tell at present which keys are valid";
}

void DocumentAge::onConfirmed(BootTimePoint at)
{
    // Confirmations may arrive in another order than they were asked for.
    m_confirmedAt = std::max(m_confirmedAt.value_or(at), at);
}

Duration DocumentAge::at(BootTimePoint now) const
{
    return m_confirmedAt ? std::chrono::duration_cast<Duration>(now - *m_confirmedAt) : Duration::max();
}

WorkspaceAdmission
admitByKey(const Deployment &deployment, const Route &route, const Credential &credential, Duration age, const KeyLimits &limits)
{
    if (deployment.workspaces.empty()) {
        return {};
    }
    const Workspace *workspace = workspaceOf(deployment, credential);
    const bool isUncertain = workspace == nullptr ? age >= limits.propagation : mayBeRevoked(age, limits);
    if (route.isPublic) {
        return {KeyVerdict::Accepted, isUncertain ? nullptr : workspace};
    }
    if (isUncertain) {
        return {KeyVerdict::Uncertain, nullptr};
    }
    return {workspace == nullptr ? KeyVerdict::Rejected : KeyVerdict::Accepted, workspace};
}

} // namespace Hemlockhill
