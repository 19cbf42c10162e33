// Route matching, and the replicated document.
#include "hemlockhill/deployment.h"

#include "hemlockhill/failure.h"

#include <charconv>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Separates the version from the document in a command.
constexpr char VersionEnd = '\n';

} // namespace

std::string_view toText(RouteKind kind)
{
    switch (kind) {
    case RouteKind::Safe:
        return "safe";
    case RouteKind::Unsafe:
        return "unsafe";
    case RouteKind::Streaming:
        break;
    }
    return "streaming";
}

const Route *Deployment::match(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const Route &route : routes) {
        const bool matches = route.host == host && path.starts_with(route.pathPrefix);
        if (matches && (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())) {
            best = &route;
        }
    }
    return best;
}

std::string encode(const DeploymentDocument &document)
{
    return std::to_string(document.version.value) + VersionEnd + document.text;
}

DeploymentDocument decodeDeploymentDocument(std::string_view text)
{
    DeploymentDocument document;
    const char *textEnd = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), textEnd, document.version.value);
    if (error != std::errc() || end == textEnd || *end != VersionEnd) {
        throw DecodeError("a deployment document without a version");
    }
    document.text.assign(end + 1, textEnd);
    return document;
}

bool DeploymentRegister::apply(DeploymentDocument document)
{
    if (document.version <= m_current.version) {
        return false;
    }
    m_current = std::move(document);
    return true;
}

} // namespace Hemlockhill
