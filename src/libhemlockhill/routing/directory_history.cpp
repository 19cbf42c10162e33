// Encoding and application of directory changes.
#include "hemlockhill/directory_history.h"

#include "hemlockhill/failure.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <tuple>
#include <utility>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

constexpr unsigned TermShift = 32;
// Maximum number of cached encodings. Followers are at most a few revisions behind, and new ones request the full directory.
constexpr std::size_t EncodedChangesLimit = 8;

// Compares endpoints without the remaining load time, which changes with the passage of time alone.
bool isSameExceptLoadTime(const LiveEndpoint &left, const LiveEndpoint &right)
{
    const auto fields = [](const LiveEndpoint &endpoint) {
        return std::tie(endpoint.id,
                        endpoint.incarnation,
                        endpoint.service,
                        endpoint.address,
                        endpoint.dataCentre,
                        endpoint.softwareVersion,
                        endpoint.slots,
                        endpoint.leaving,
                        endpoint.held,
                        endpoint.loading);
    };
    return fields(left) == fields(right);
}

} // namespace

DirectoryHistory::DirectoryHistory(Term term)
    : m_first{term.value << TermShift}
    , m_revision(m_first)
{
}

bool DirectoryHistory::update(const EndpointsById &endpoints)
{
    const DirectoryRevision next = m_revision + DirectoryRevision{1};
    bool changed = false;
    for (const auto &[id, endpoint] : endpoints) {
        const auto known = m_entries.find(id);
        if (known == m_entries.end() || !isSameExceptLoadTime(known->second.endpoint, endpoint)) {
            m_entries[id] = {endpoint, next};
            m_removed.erase(id);
            changed = true;
        }
    }
    for (auto entry = m_entries.begin(); entry != m_entries.end();) {
        if (endpoints.contains(entry->first)) {
            ++entry;
            continue;
        }
        m_removed[entry->first] = next;
        entry = m_entries.erase(entry);
        changed = true;
    }
    if (changed) {
        m_revision = next;
        m_encodedChanges.clear();
    }
    return changed;
}

const std::string &DirectoryHistory::changesSince(DirectoryRevision known) const
{
    const bool isFull = known < m_first || known > m_revision || known == m_first;
    const DirectoryRevision since = isFull ? m_first : known;
    if (const auto cached = m_encodedChanges.find(since); cached != m_encodedChanges.end()) {
        return cached->second;
    }
    EndpointsById changed;
    for (const auto &[id, entry] : m_entries) {
        if (entry.changedAt > since) {
            changed.emplace(id, entry.endpoint);
        }
    }
    json::array removed;
    for (const auto &[id, at] : m_removed) {
        if (!isFull && at > since) {
            removed.push_back(json::value(id.value));
        }
    }
    if (m_encodedChanges.size() >= EncodedChangesLimit) {
        m_encodedChanges.clear();
    }
    const json::object message{{"whole", isFull},
                               {"since", since.value},
                               {"revision", m_revision.value},
                               {"endpoints", encodeEndpoints(changed)},
                               {"removed", std::move(removed)}};
    return m_encodedChanges[since] = json::serialize(message);
}

bool DirectoryReplica::apply(std::string_view changes)
{
    bool isFull = false;
    DirectoryRevision since;
    DirectoryRevision revision;
    EndpointsById changed;
    std::vector<EndpointId> removed;
    try {
        const json::value message = json::parse(changes);
        isFull = message.at("whole").as_bool();
        since = DirectoryRevision{message.at("since").to_number<std::uint64_t>()};
        revision = DirectoryRevision{message.at("revision").to_number<std::uint64_t>()};
        changed = decodeEndpoints(message.at("endpoints"));
        for (const json::value &id : message.at("removed").as_array()) {
            removed.push_back(EndpointId{std::string(id.as_string())});
        }
    } catch (const DecodeError &) {
        throw;
    } catch (const std::exception &error) {
        throw DecodeError(std::string("malformed changes of the endpoint directory: ") + error.what());
    }
    const bool continues = isFull ? revision > m_revision : since == m_revision;
    if (!continues) {
        return false;
    }
    m_revision = revision;
    if (isFull) {
        m_endpoints = std::move(changed);
        return true;
    }
    for (const EndpointId &id : removed) {
        m_endpoints.erase(id);
    }
    for (auto &[id, endpoint] : changed) {
        m_endpoints.insert_or_assign(id, std::move(endpoint));
    }
    return true;
}

} // namespace Hemlockhill
