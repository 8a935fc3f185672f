#ifndef TANAGERHOIST_DECISION_SETTINGS_ROWS_HPP
#define TANAGERHOIST_DECISION_SETTINGS_ROWS_HPP

#include "messages.pb.h"

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// Table row that names the bundle in force; holds a SettingsHead.
inline constexpr char settings_head_row[] = "settings/head";

/// Table row with the acknowledgement of one VM; holds a VmStatusRow.
inline std::string vm_status_row(const std::string& vm)
{
    return "settings/in_force/" + vm;
}

/// Call that reads a table row.
inline proto::PlatformCall read_row(std::string row)
{
    proto::PlatformCall call;
    call.mutable_table_read()->set_row(std::move(row));
    return call;
}

/// Call that writes a table row if it still has version `expected`.
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

/// Call that reads an object.
inline proto::PlatformCall read_object(std::string name)
{
    proto::PlatformCall call;
    call.mutable_object_read()->set_name(std::move(name));
    return call;
}

/// Call that writes an object.
inline proto::PlatformCall write_object(std::string name, std::string value)
{
    proto::PlatformCall call;
    call.mutable_object_write()->set_name(std::move(name));
    call.mutable_object_write()->set_value(std::move(value));
    return call;
}

} // namespace tanagerhoist

#endif
