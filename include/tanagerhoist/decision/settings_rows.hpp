#ifndef TANAGERHOIST_DECISION_SETTINGS_ROWS_HPP
#define TANAGERHOIST_DECISION_SETTINGS_ROWS_HPP

#include "messages.pb.h"

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// Name of the table row with the SettingsHead, which names the bundle in
/// force.
inline constexpr char settings_head_row[] = "settings/head";

/// Name of the table row with a VM's acknowledgement, a VmStatusRow.
inline std::string vm_status_row(const std::string& vm)
{
    return "settings/in_force/" + vm;
}

/// Builds a call that reads a table row.
inline proto::PlatformCall read_row(std::string row)
{
    proto::PlatformCall call;
    call.mutable_table_read()->set_row(std::move(row));
    return call;
}

/// Builds a call that writes a table row if its version equals `expected`.
inline proto::PlatformCall write_row(std::string row, std::uint64_t expected,
                                     std::string value)
{
    proto::PlatformCall call;
    auto& write = *call.mutable_table_write();
    write.set_row(std::move(row));
    write.set_expected_version(expected);
    write.set_value(std::move(value));
    return call;
}

/// Builds a call that reads an object.
inline proto::PlatformCall read_object(std::string name)
{
    proto::PlatformCall call;
    call.mutable_object_read()->set_name(std::move(name));
    return call;
}

/// Builds a call that writes an object.
inline proto::PlatformCall write_object(std::string name, std::string value)
{
    proto::PlatformCall call;
    call.mutable_object_write()->set_name(std::move(name));
    call.mutable_object_write()->set_value(std::move(value));
    return call;
}

} // namespace tanagerhoist

#endif
