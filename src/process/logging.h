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
    /// A reader that is too slow does not hold up the process: lines that find no room are dropped.
    StandardOutput,
};

/// Starts logging. Lines below level are dropped; each line names the instance.
void startLogging(std::string_view level, const std::string &instance,
                  LogTarget target = LogTarget::StandardError);

/// One event as a line of key=value, written when the object ends its life. Values with blanks or
/// quotes are quoted.
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
