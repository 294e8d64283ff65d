#include "process/flowsettingsfile.h"

#include <system_error>
#include <utility>

namespace banyanwall::process {

FlowSettingsFile::FlowSettingsFile(std::string path)
    : m_path(std::move(path))
{ }

common::Result<FlowSettings> FlowSettingsFile::load()
{
    // Taken before the read, so that the next check detects a write during the read.
    m_loadedWriteTime = writtenAt();
    return loadFlowSettings(m_path);
}

bool FlowSettingsFile::hasChanged() const
{
    const auto written = writtenAt();
    return written != std::filesystem::file_time_type::min() && written != m_loadedWriteTime;
}

std::filesystem::file_time_type FlowSettingsFile::writtenAt() const
{
    std::error_code error;
    return std::filesystem::last_write_time(m_path, error);
}

} // namespace banyanwall::process
