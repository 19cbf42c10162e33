// Structured logging: one JSON object per line on standard output, written through glog.
//
// Informational lines are rate-limited, and logging never blocks on the reader of standard output. Dropped lines are counted; the next
// written line carries their number in the field "dropped_lines".
#pragma once

#include <boost/json/object.hpp>

#include <string_view>

namespace Hemlockhill
{

enum class Severity { Info, Warning, Error };

// Initializes logging. Node and data centre become fields of every line. Call once, before the first event.
void startLogging(std::string_view program, std::string_view node, std::string_view dataCentre);

// Writes {"time", "severity", "event", "node", "data_centre", ...fields}. The event is a fixed name, such as "node started".
void logEvent(Severity severity, std::string_view event, boost::json::object fields = {});

} // namespace Hemlockhill
