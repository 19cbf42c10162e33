// JSON encoding of commands, outcomes and snapshots of the idempotency register.
#include "hemlockhill/once_register.h"

#include "runtime/json_text.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

json::value encodeDigest(const Digest &digest)
{
    return json::array{digest.high, digest.low};
}

Digest decodeDigest(const json::value &value)
{
    const json::array &parts = value.as_array();
    return Digest{parts.at(0).to_number<std::uint64_t>(), parts.at(1).to_number<std::uint64_t>()};
}

std::string textOf(const json::object &object, std::string_view key)
{
    return json::value_to<std::string>(object.at(key));
}

std::int64_t numberOf(const json::object &object, std::string_view key)
{
    return object.at(key).to_number<std::int64_t>();
}

std::int64_t millisecondsOf(WallTime time)
{
    return time.time_since_epoch().count();
}

WallTime wallTimeOf(std::int64_t milliseconds)
{
    return WallTime(std::chrono::milliseconds(milliseconds));
}

json::value encodeAnswer(const StoredAnswer &answer)
{
    json::array headers;
    for (const HttpHeader &header : answer.headers) {
        headers.push_back(json::array{header.name, header.value});
    }
    return {{"status", answer.status}, {"type", answer.contentType}, {"headers", std::move(headers)}, {"body", answer.body}};
}

StoredAnswer decodeAnswer(const json::object &object)
{
    StoredAnswer answer;
    answer.status = object.at("status").to_number<unsigned>();
    answer.contentType = textOf(object, "type");
    for (const json::value &header : object.at("headers").as_array()) {
        const json::array &parts = header.as_array();
        answer.headers.push_back({json::value_to<std::string>(parts.at(0)), json::value_to<std::string>(parts.at(1))});
    }
    answer.body = textOf(object, "body");
    return answer;
}

OnceVerdict decodeVerdict(std::string_view text)
{
    for (int number = 0; number <= static_cast<int>(OnceVerdict::Ignored); ++number) {
        const auto verdict = static_cast<OnceVerdict>(number);
        if (toText(verdict) == text) {
            return verdict;
        }
    }
    throw DecodeError("unknown verdict in an outcome");
}

json::object encodeStep(const ClaimKey &step)
{
    return {{"step", "claim"},
            {"key", step.key.value},
            {"service", step.service.value},
            {"scope", step.scope.value},
            {"call", encodeDigest(step.call)},
            {"node", step.node.value},
            {"claim", step.claim.value},
            {"dispatch_window_ms", step.dispatchWindow.count()},
            {"answer_window_ms", step.answerWindow.count()}};
}

json::object encodeStep(const RecordOutcome &step)
{
    json::object object{{"step", "record"}, {"key", encodeDigest(step.key)}, {"claim", step.claim.value}};
    if (step.answer) {
        object["answer"] = encodeAnswer(*step.answer);
    }
    return object;
}

json::object encodeStep(const ReleaseClaim &step)
{
    return {{"step", "release"}, {"key", encodeDigest(step.key)}, {"claim", step.claim.value}};
}

json::object encodeStep(const ExpireKeys &step)
{
    return {{"step", "expire"}, {"retention_ms", step.retention.count()}};
}

OnceStep decodeStep(const json::object &object)
{
    const std::string kind = textOf(object, "step");
    if (kind == "claim") {
        ClaimKey step;
        step.key.value = textOf(object, "key");
        step.service.value = textOf(object, "service");
        step.scope.value = textOf(object, "scope");
        step.call = decodeDigest(object.at("call"));
        step.node.value = textOf(object, "node");
        step.claim.value = textOf(object, "claim");
        step.dispatchWindow = std::chrono::milliseconds(numberOf(object, "dispatch_window_ms"));
        step.answerWindow = std::chrono::milliseconds(numberOf(object, "answer_window_ms"));
        return step;
    }
    if (kind == "record") {
        RecordOutcome step{decodeDigest(object.at("key")), ClaimId{textOf(object, "claim")}, {}};
        if (const auto *answer = object.if_contains("answer")) {
            step.answer = decodeAnswer(answer->as_object());
        }
        return step;
    }
    if (kind == "release") {
        return ReleaseClaim{decodeDigest(object.at("key")), ClaimId{textOf(object, "claim")}};
    }
    if (kind == "expire") {
        return ExpireKeys{std::chrono::milliseconds(numberOf(object, "retention_ms"))};
    }
    throw DecodeError("unknown step " + kind);
}

} // namespace

std::string encode(const OnceCommand &command)
{
    json::array steps;
    for (const OnceStep &step : command.steps) {
        steps.push_back(std::visit([](const auto &typed) { return encodeStep(typed); }, step));
    }
    return json::serialize(json::object{{"time_ms", millisecondsOf(command.proposedAt)}, {"steps", std::move(steps)}});
}

OnceCommand decodeOnceCommand(std::string_view text)
{
    return decodingJson([text] {
        const json::value value = parseJsonObject(text);
        const json::object &object = value.get_object();
        OnceCommand command;
        command.proposedAt = wallTimeOf(numberOf(object, "time_ms"));
        for (const json::value &step : object.at("steps").as_array()) {
            command.steps.push_back(decodeStep(step.as_object()));
        }
        return command;
    });
}

std::string OnceRegister::snapshot() const
{
    json::array entries;
    // Entries in the order of their claims.
    for (const OrderedClaim &claimed : m_claimOrder) {
        const Entry *const held = findEntry(claimed);
        if (held == nullptr) {
            continue;
        }
        const Entry &entry = *held;
        json::object object{{"key", encodeDigest(claimed.key)},
                            {"call", encodeDigest(entry.call)},
                            {"claim", entry.claim.value},
                            {"at", millisecondsOf(entry.claimedAt)},
                            {"unknown_after", millisecondsOf(entry.unknownAfter)},
                            {"state", static_cast<int>(entry.state)},
                            {"timed", entry.hasTimestamp}};
        if (entry.answer) {
            object["answer"] = encodeAnswer(*entry.answer);
        }
        entries.push_back(std::move(object));
    }
    std::vector<std::uint64_t> hashes(m_tombstones.begin(), m_tombstones.end());
    std::sort(hashes.begin(), hashes.end());
    return json::serialize(json::object{{"now", millisecondsOf(m_now)},
                                        {"watermark", millisecondsOf(m_watermark)},
                                        {"entries", std::move(entries)},
                                        {"tombstones", json::array(hashes.begin(), hashes.end())}});
}

OnceRegister OnceRegister::restore(std::string_view snapshot, OnceLimits limits)
{
    return decodingJson([snapshot, limits] {
        const json::value value = parseJsonObject(snapshot);
        const json::object &object = value.get_object();
        OnceRegister machine(limits);
        machine.m_now = wallTimeOf(numberOf(object, "now"));
        machine.m_watermark = wallTimeOf(numberOf(object, "watermark"));
        for (const json::value &item : object.at("entries").as_array()) {
            const json::object &fields = item.as_object();
            const auto state = numberOf(fields, "state");
            if (state < 0 || state > static_cast<int>(State::Unknown)) {
                throw DecodeError("unknown key state in a snapshot");
            }
            Entry entry;
            entry.call = decodeDigest(fields.at("call"));
            entry.claim.value = textOf(fields, "claim");
            entry.claimedAt = wallTimeOf(numberOf(fields, "at"));
            entry.unknownAfter = wallTimeOf(numberOf(fields, "unknown_after"));
            entry.state = static_cast<State>(state);
            entry.hasTimestamp = fields.at("timed").as_bool();
            if (const auto *answer = fields.if_contains("answer")) {
                entry.answer = decodeAnswer(answer->as_object());
                machine.m_answerBytes += entry.answer->bytes();
            }
            const Digest key = decodeDigest(fields.at("key"));
            entry.claimNumber = ++machine.m_lastClaimNumber;
            machine.m_claimOrder.push_back({entry.claimNumber, entry.claimedAt, key});
            machine.m_entries.insert_or_assign(key, std::move(entry));
        }
        for (const json::value &hash : object.at("tombstones").as_array()) {
            machine.m_tombstones.insert(hash.to_number<std::uint64_t>());
        }
        return machine;
    });
}

std::string encode(const OnceOutcome &outcome)
{
    json::array steps;
    for (const StepOutcome &step : outcome.steps) {
        json::object object{{"verdict", toText(step.verdict)}};
        if (step.answer) {
            object["answer"] = encodeAnswer(*step.answer);
        }
        steps.push_back(std::move(object));
    }
    return json::serialize(json::object{{"steps", std::move(steps)}});
}

OnceOutcome decodeOnceOutcome(std::string_view text)
{
    return decodingJson([text] {
        OnceOutcome outcome;
        const json::value value = parseJsonObject(text);
        for (const json::value &step : value.get_object().at("steps").as_array()) {
            const json::object &object = step.as_object();
            StepOutcome decoded;
            decoded.verdict = decodeVerdict(textOf(object, "verdict"));
            if (const auto *answer = object.if_contains("answer")) {
                decoded.answer = decodeAnswer(answer->as_object());
            }
            outcome.steps.push_back(std::move(decoded));
        }
        return outcome;
    });
}

} // namespace Hemlockhill
