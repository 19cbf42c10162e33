// Route matching, and encoding of the deployment document.
#include "hemlockhill/deployment.h"

#include "hemlockhill/failure.h"

#include <zlib.h>

#include <charconv>
#include <utility>

namespace Hemlockhill
{

namespace
{

// Separates the version from the document.
constexpr char VersionEnd = '\n';
// Follows the version of a compressed document, in place of VersionEnd. The uncompressed size and a VersionEnd come next.
constexpr char CompressedMarker = 'z';
// Maximum uncompressed size in bytes. Larger sizes are rejected as malformed before memory is allocated.
constexpr std::size_t DocumentLimit = std::size_t{64} << 20U;

std::string inflate(std::string_view bytes, std::size_t size)
{
    std::string text(size, '\0');
    uLongf length = static_cast<uLongf>(size);
    const int status =
        uncompress(reinterpret_cast<Bytef *>(text.data()), &length, reinterpret_cast<const Bytef *>(bytes.data()), bytes.size());
    if (status != Z_OK || length != size) {
        throw DecodeError("compressed deployment document is corrupt");
    }
    return text;
}

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

std::string encodeCompressed(const DeploymentDocument &document)
{
    uLongf length = compressBound(document.text.size());
    std::string compressed(length, '\0');
    const int status = compress2(reinterpret_cast<Bytef *>(compressed.data()),
                                 &length,
                                 reinterpret_cast<const Bytef *>(document.text.data()),
                                 document.text.size(),
                                 Z_BEST_SPEED);
    if (status != Z_OK) {
        return encode(document);
    }
    compressed.resize(length);
    return std::to_string(document.version.value) + CompressedMarker + std::to_string(document.text.size()) + VersionEnd + compressed;
}

DeploymentDocument decodeDeploymentDocument(std::string_view bytes)
{
    DeploymentDocument document;
    const char *end = bytes.data() + bytes.size();
    const auto [versionEnd, versionError] = std::from_chars(bytes.data(), end, document.version.value);
    if (versionError != std::errc() || versionEnd == end || (*versionEnd != VersionEnd && *versionEnd != CompressedMarker)) {
        throw DecodeError("deployment document has no valid version");
    }
    if (*versionEnd == VersionEnd) {
        document.text.assign(versionEnd + 1, end);
        return document;
    }
    std::size_t size = 0;
    const auto [sizeEnd, sizeError] = std::from_chars(versionEnd + 1, end, size);
    if (sizeError != std::errc() || sizeEnd == end || *sizeEnd != VersionEnd || size > DocumentLimit) {
        throw DecodeError("compressed deployment document has no valid size");
    }
    document.text = inflate({sizeEnd + 1, static_cast<std::size_t>(end - sizeEnd - 1)}, size);
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
