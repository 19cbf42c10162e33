// Strict reader of the members of a JSON object. Faults are collected with their JSON paths.
#pragma once

#include "hemlockhill/failure.h"
#include "hemlockhill/world.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Hemlockhill
{

// Reads members by key. Each call marks its key as known, and finish() reports the remaining keys as unknown. The functions with a
// fallback return it when the member is missing or has a fault.
class ObjectReader
{
public:
    // Accepts any JSON value, and records a fault when it is not an object. The fault list must outlive the reader.
    ObjectReader(const boost::json::value &value, std::string path, std::vector<SettingsFault> &faults);

    std::string requiredText(std::string_view key);
    std::string requiredName(std::string_view key);
    std::optional<std::string> optionalText(std::string_view key);
    Address requiredAddress(std::string_view key);
    Bytes bytes(std::string_view key, Bytes fallback);
    std::optional<Bytes> optionalBytes(std::string_view key);
    Duration duration(std::string_view key, Duration fallback);
    std::uint32_t positiveInteger(std::string_view key, std::uint32_t fallback);
    std::optional<std::uint32_t> optionalPositiveInteger(std::string_view key);
    double positiveNumber(std::string_view key, double fallback);
    bool boolean(std::string_view key, bool fallback);

    // Calls read with a reader for the member object. Records a fault when the member is required and missing.
    void object(std::string_view key, bool required, const std::function<void(ObjectReader &)> &read);
    // Calls read with a reader for each element of a member array of objects.
    void objects(std::string_view key, const std::function<void(ObjectReader &)> &read);

    // Records a fault of the member.
    void fault(std::string_view key, std::string problem);
    // Records a fault for each key of the object that was not read.
    void finish();

private:
    const boost::json::value *find(std::string_view key);
    std::string pathOf(std::string_view key) const;

    template<typename Value, typename Parser>
    Value parsedText(std::string_view key, Value fallback, Parser parse, const char *problem);

    const boost::json::object *m_object = nullptr;
    std::string m_path;
    std::vector<SettingsFault> &m_faults;
    std::set<std::string, std::less<>> m_known;
};

} // namespace Hemlockhill
