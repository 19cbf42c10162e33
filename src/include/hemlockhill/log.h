// Structured logs: one JSON object a line on standard output, written through glog.
//
// Informational lines are bounded to a rate, and nothing ever waits for whoever reads them: lines that could not be written are counted,
// and the next line says how many they were as "dropped_lines".
#pragma once

#include <boost/json/object.hpp>

#include <string_view>

namespace Hemlockhill
{

enum class Severity { Info, Warning, Error };

// Prepares logging. Node and data centre become fields of every line; call once, before the first event.
void startLogging(std::string_view program, std::string_view node, std::string_view dataCentre);

// Writes {"time", "severity", "event", "node", "data_centre", ...fields}. The event is a fixed name, such as "node started".
void logEvent(Severity severity, std::string_view event, boost::json::object fields = {});

} // namespace Hemlockhill
