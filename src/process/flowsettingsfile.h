#pragma once

#include "process/flowsettings.h"

#include <filesystem>
#include <string>

namespace banyanwall::process {

/// The settings file of an instance. The platform may change it at any time, with or without a
/// signal.
class FlowSettingsFile
{
public:
    explicit FlowSettingsFile(std::string path);

    /// Reads and checks the file; fails as parseFlowSettings().
    [[nodiscard]] common::Result<FlowSettings> load();
    /// Whether the file was written since the last load(). False when the file cannot be read.
    [[nodiscard]] bool hasChanged() const;

private:
    [[nodiscard]] std::filesystem::file_time_type writtenAt() const;

    std::string m_path;
    std::filesystem::file_time_type m_loadedWriteTime;
};

} // namespace banyanwall::process
