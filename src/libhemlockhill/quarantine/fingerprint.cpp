// Fingerprints of requests and identifiers of losses.
#include "hemlockhill/quarantine.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace Hemlockhill
{

namespace
{

namespace json = boost::json;

// The members that affect what an engine computes. Others, such as "user" or "metadata", are ignored, since changing them leaves the
// computation unchanged.
constexpr std::array<std::string_view, 24> FingerprintMembers{"adapter",
                                                              "echo",
                                                              "frequency_penalty",
                                                              "functions",
                                                              "logit_bias",
                                                              "logprobs",
                                                              "max_completion_tokens",
                                                              "max_tokens",
                                                              "messages",
                                                              "min_p",
                                                              "model",
                                                              "n",
                                                              "prompt",
                                                              "presence_penalty",
                                                              "response_format",
                                                              "seed",
                                                              "stop",
                                                              "suffix",
                                                              "temperature",
                                                              "tool_choice",
                                                              "tools",
                                                              "top_k",
                                                              "top_logprobs",
                                                              "top_p"};

// Returns the value in canonical form: members sorted by name, integral numbers as integers.
json::value canonical(const json::value &value)
{
    if (value.is_double()) {
        const double number = value.get_double();
        constexpr double ExactLimit = 9e15;
        const bool whole = number > -ExactLimit && number < ExactLimit && number == static_cast<double>(static_cast<std::int64_t>(number));
        return whole ? json::value(static_cast<std::int64_t>(number)) : value;
    }
    if (const json::array *items = value.if_array()) {
        json::array result;
        for (const json::value &item : *items) {
            result.push_back(canonical(item));
        }
        return result;
    }
    const json::object *object = value.if_object();
    if (object == nullptr) {
        return value;
    }
    std::vector<std::string_view> keys;
    for (const auto &member : *object) {
        keys.push_back(member.key());
    }
    std::sort(keys.begin(), keys.end());
    json::object result;
    for (const std::string_view key : keys) {
        result[key] = canonical(object->at(key));
    }
    return result;
}

std::uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

} // namespace

Fingerprint fingerprintOf(std::string_view body)
{
    json::error_code error;
    const json::value value = json::parse(body, error);
    if (error || !value.is_object()) {
        throw DecodeError("the request body is not a JSON object");
    }
    json::object selected;
    for (const std::string_view name : FingerprintMembers) {
        if (const json::value *member = value.get_object().if_contains(name)) {
            selected[name] = canonical(*member);
        }
    }
    return Fingerprint{hashOf(json::serialize(selected))};
}

LossId lossIdOf(const EndpointId &endpoint, const Incarnation &incarnation)
{
    return LossId{hashOf(std::to_string(endpoint.value.size()) + ":" + endpoint.value + incarnation.value)};
}

} // namespace Hemlockhill
