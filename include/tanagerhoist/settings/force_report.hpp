#ifndef TANAGERHOIST_SETTINGS_FORCE_REPORT_HPP
#define TANAGERHOIST_SETTINGS_FORCE_REPORT_HPP

#include "tanagerhoist/settings/platform_client.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// One listed VM's own acknowledgement.
struct vm_in_force
{
    proto::ListedVm vm;
    proto::VmStatusRow row; ///< version 0: it has acknowledged nothing
};

/// The published head, and what each listed VM has in force.
struct force_report
{
    proto::SettingsHead head; ///< version 0: nothing is published
    std::vector<vm_in_force> vms;

    /// Names of VMs whose acknowledgement is below the head, leaving VMs
    /// included as long as they are listed: they may still serve.
    std::vector<std::string> lagging() const;
};

/// Reads the head row; empty if the platform does not answer, or with what
/// cannot be read.
std::optional<proto::SettingsHead> read_head(platform_client& platform);

/// Reads head, list and acknowledgements; empty if any cannot be had.
std::optional<force_report> read_force(platform_client& platform);

/// The report for operators, one line per VM.
std::string to_text(const force_report& report);

} // namespace tanagerhoist

#endif
