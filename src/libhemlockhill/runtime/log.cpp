// Output of log lines to standard output.
#include "hemlockhill/log.h"

#include <boost/json/serialize.hpp>
#include <glog/logging.h>

#include <atomic>
#include <chrono>
#include <ctime>
#include <mutex>
#include <poll.h>
#include <string>
#include <unistd.h>

namespace Hemlockhill
{

namespace
{

struct LogContext {
    std::string program;
    std::string node;
    std::string dataCentre;
};

LogContext &logContext()
{
    static LogContext context;
    return context;
}

// Rate limit of informational lines (token bucket): sustained rate, and burst size.
constexpr double LinesPerSecond = 80;
constexpr double BurstLines = 400;
// A pipe that polls as writable accepts this many bytes (PIPE_BUF) without blocking.
constexpr std::size_t MaximumLineBytes = 4096;

// Token bucket for informational lines, so that a busy node does not spend its time on logging.
class LogRateLimiter
{
public:
    // Returns false if the line must be dropped.
    bool tryAcquire()
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        m_available = std::min(BurstLines, m_available + std::chrono::duration<double>(now - m_lastRefill).count() * LinesPerSecond);
        m_lastRefill = now;
        if (m_available < 1) {
            return false;
        }
        m_available -= 1;
        return true;
    }

private:
    std::mutex m_mutex;
    double m_available = BurstLines;
    std::chrono::steady_clock::time_point m_lastRefill = std::chrono::steady_clock::now();
};

LogRateLimiter &logRateLimiter()
{
    static LogRateLimiter limiter;
    return limiter;
}

// Number of lines dropped since the last one that was written.
std::atomic<std::uint64_t> &droppedLines()
{
    static std::atomic<std::uint64_t> dropped{0};
    return dropped;
}

// Writes complete lines to standard output. Lines are dropped if the reader is too slow; logging never blocks the process.
class StandardOutput : public google::LogSink
{
public:
    void send(google::LogSeverity, const char *, const char *, int, const google::LogMessageTime &, const char *message, std::size_t length)
        override
    {
        std::string line(message, std::min(length, MaximumLineBytes - 1));
        line += '\n';
        pollfd output{STDOUT_FILENO, POLLOUT, 0};
        const bool isReady = ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
        if (!isReady || ::write(STDOUT_FILENO, line.data(), line.size()) < 0) {
            ++droppedLines();
        }
    }
};

StandardOutput &standardOutput()
{
    static StandardOutput output;
    return output;
}

std::string utcTime()
{
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    char text[40];
    const std::size_t length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    std::string fraction = std::to_string(1000 + milliseconds).substr(1);
    return std::string(text, length) + "." + fraction + "Z";
}

std::string_view severityName(Severity severity)
{
    switch (severity) {
    case Severity::Info:
        return "info";
    case Severity::Warning:
        return "warning";
    case Severity::Error:
        break;
    }
    return "error";
}

} // namespace

void startLogging(std::string_view program, std::string_view node, std::string_view dataCentre)
{
    logContext() = LogContext{std::string(program), std::string(node), std::string(dataCentre)};
    google::InitGoogleLogging(logContext().program.c_str());
}

void logEvent(Severity severity, std::string_view event, boost::json::object fields)
{
    if (severity == Severity::Info && !logRateLimiter().tryAcquire()) {
        ++droppedLines();
        return;
    }
    boost::json::object line;
    line["time"] = utcTime();
    line["severity"] = severityName(severity);
    line["event"] = event;
    line["node"] = logContext().node;
    line["data_centre"] = logContext().dataCentre;
    for (auto &field : fields) {
        line[field.key()] = std::move(field.value());
    }
    if (const std::uint64_t dropped = droppedLines().exchange(0); dropped > 0) {
        line["dropped_lines"] = dropped;
    }
    const std::string text = boost::json::serialize(line);
    switch (severity) {
    case Severity::Info:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&standardOutput(), INFO) << text;
        break;
    case Severity::Warning:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&standardOutput(), WARNING) << text;
        break;
    case Severity::Error:
        LOG_TO_SINK_BUT_NOT_TO_LOGFILE(&standardOutput(), ERROR) << text;
        break;
    }
}

} // namespace Hemlockhill
