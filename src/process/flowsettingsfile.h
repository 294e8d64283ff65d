#pragma once

#include "process/flowsettings.h"

#include <filesystem>
#include <string>

namespace banyanwall::process {

/// The settings file of an instance, which may change at any time with or without a signal.
class FlowSettingsFile
{
public:
    explicit FlowSettingsFile(std::string path);

    /// Reads and checks the file.
    [[nodiscard]] common::Result<FlowSettings> load();
    /// Whether the file was written since the last load. A file that cannot be read has not.
    [[nodiscard]] bool hasChanged() const;

private:
    [[nodiscard]] std::filesystem::file_time_type writtenAt() const;

    std::string m_path;
    std::filesystem::file_time_type m_loaded;
};

} // namespace banyanwall::process
