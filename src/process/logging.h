#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace banyanwall::process {

enum class LogLevel {
    Trace,
    Debug,
    Info,
    Warning,
    Error,
};

enum class LogTarget {
    StandardError,
    /// Does not block: lines are dropped while the reader is too slow and the pipe is full.
    StandardOutput,
};

/// Starts logging. level is one of trace, debug, info, warning, error; lines below it are dropped.
/// Each line names the instance.
void startLogging(std::string_view level, const std::string &instance,
                  LogTarget target = LogTarget::StandardError);

/// One event as a line of key=value pairs, written by the destructor. Empty values and values with
/// white space, quotes or equals signs are quoted.
class LogEvent
{
public:
    LogEvent(LogLevel level, std::string_view event);
    ~LogEvent();
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;

    template<typename Value>
    LogEvent &with(std::string_view key, const Value &value)
    {
        std::ostringstream text;
        text << value;
        return append(key, text.str());
    }

private:
    LogEvent &append(std::string_view key, const std::string &value);

    LogLevel m_level;
    std::string m_line;
};

} // namespace banyanwall::process
