#ifndef TANAGERHOIST_SETTINGS_ROLLOUT_STATUS_HPP
#define TANAGERHOIST_SETTINGS_ROLLOUT_STATUS_HPP

#include "tanagerhoist/settings/platform_client.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// One listed VM's own acknowledgement.
struct vm_rollout_status
{
    proto::ListedVm vm;
    proto::VmStatusRow row; ///< version 0: it has acknowledged nothing
};

/// The published head, and what each listed VM has in force.
struct rollout_status
{
    proto::SettingsHead head; ///< version 0: nothing is published
    std::vector<vm_rollout_status> vms;

    /// Names of VMs whose acknowledgement is below the head, leaving VMs
    /// included as long as they are listed: they may still serve.
    std::vector<std::string> lagging() const;
};

/// Reads the head row; empty if the platform does not answer, or with what
/// cannot be read.
std::optional<proto::SettingsHead> read_head(platform_client& platform);

/// Reads head, list and acknowledgements; empty if any cannot be had.
std::optional<rollout_status> read_rollout_status(platform_client& platform);

/// The status for operators, one line per VM.
std::string to_text(const rollout_status& status);

} // namespace tanagerhoist

#endif
