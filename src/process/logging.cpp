#include "process/logging.h"

#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <iostream>

namespace banyanwall::process {

namespace {

namespace blog = boost::log;
using Severity = blog::trivial::severity_level;

Severity severityOf(LogLevel level)
{
    switch (level) {
    case LogLevel::Trace:
        return Severity::trace;
    case LogLevel::Debug:
        return Severity::debug;
    case LogLevel::Info:
        return Severity::info;
    case LogLevel::Warning:
        return Severity::warning;
    case LogLevel::Error:
        return Severity::error;
    }
    return Severity::info;
}

/// Writes lines to standard output without blocking.
class NonBlockingLineSink
    : public blog::sinks::basic_formatted_sink_backend<char, blog::sinks::concurrent_feeding>
{
public:
    NonBlockingLineSink()
    {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    static void consume(const blog::record_view & /*record*/, const string_type &line)
    {
        const auto whole = line + '\n';
        // A line is dropped when the pipe is full, since waiting would delay packets.
        [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, whole.data(), whole.size());
    }
};

bool needsQuotes(const std::string &value)
{
    return value.empty() || value.find_first_of(" \"=\n\t") != std::string::npos;
}

std::string quoted(const std::string &value)
{
    std::string text = "\"";
    for (const char symbol : value) {
        if (symbol == '"' || symbol == '\\') {
            text += '\\';
        }
        text += symbol == '\n' ? ' ' : symbol;
    }
    return text + '"';
}

std::string textOf(const std::string &value)
{
    return needsQuotes(value) ? quoted(value) : value;
}

} // namespace

void startLogging(std::string_view level, const std::string &instance, LogTarget target)
{
    namespace expressions = blog::expressions;
    Severity threshold = Severity::info;
    blog::trivial::from_string(level.data(), level.size(), threshold);
    blog::add_common_attributes();
    blog::core::get()->set_filter(blog::trivial::severity >= threshold);
    const auto format = expressions::stream
            << "time="
            << expressions::format_date_time<boost::posix_time::ptime>("TimeStamp",
                                                                       "%Y-%m-%dT%H:%M:%S.%f")
            << " level=" << blog::trivial::severity << " instance=" << textOf(instance) << " "
            << expressions::smessage;
    if (target == LogTarget::StandardOutput) {
        using Sink = blog::sinks::synchronous_sink<NonBlockingLineSink>;
        const auto sink = boost::make_shared<Sink>();
        sink->set_formatter(format);
        blog::core::get()->add_sink(sink);
    } else {
        blog::add_console_log(std::cerr, blog::keywords::auto_flush = true,
                              blog::keywords::format = format);
    }
}

LogEvent::LogEvent(LogLevel level, std::string_view event)
    : m_level(level)
    , m_line("event=" + std::string(event))
{ }

LogEvent::~LogEvent()
{
    BOOST_LOG_STREAM_WITH_PARAMS(blog::trivial::logger::get(),
                                 (blog::keywords::severity = severityOf(m_level)))
            << m_line;
}

LogEvent &LogEvent::append(std::string_view key, const std::string &value)
{
    m_line += ' ';
    m_line += key;
    m_line += '=';
    m_line += textOf(value);
    return *this;
}

} // namespace banyanwall::process
