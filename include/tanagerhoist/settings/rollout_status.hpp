#ifndef TANAGERHOIST_SETTINGS_ROLLOUT_STATUS_HPP
#define TANAGERHOIST_SETTINGS_ROLLOUT_STATUS_HPP

#include "tanagerhoist/settings/platform_client.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// The settings version that a listed VM has acknowledged.
struct vm_rollout_status
{
    proto::ListedVm vm;
    proto::VmStatusRow row; ///< version 0 if nothing is acknowledged
};

/// The published settings version and the version in force on each listed VM.
struct rollout_status
{
    proto::SettingsHead head; ///< version 0 if nothing is published
    std::vector<vm_rollout_status> vms;

    /// Names of the VMs that have not acknowledged the published version. VMs
    /// that are leaving count as long as they are listed, since they may
    /// still serve requests.
    std::vector<std::string> lagging() const;
};

/// Reads the head row. Returns empty if the platform does not answer or the
/// row cannot be parsed.
std::optional<proto::SettingsHead> read_head(platform_client& platform);

/// Reads the head, the list of VMs and their acknowledgements. Returns empty if
/// any of them cannot be read.
std::optional<rollout_status> read_rollout_status(platform_client& platform);

/// Formats the status for operators, with one line per VM.
std::string to_text(const rollout_status& status);

} // namespace tanagerhoist

#endif
