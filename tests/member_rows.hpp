#ifndef TANAGERHOIST_TESTS_MEMBER_ROWS_HPP
#define TANAGERHOIST_TESTS_MEMBER_ROWS_HPP

#include "fleet.pb.h"

#include <cstdint>
#include <string>

namespace tanagerhoist
{

/// Row of a VM's process.
inline proto::MemberRow member(const std::string& vm, std::uint64_t life)
{
    proto::MemberRow row;
    row.set_vm(vm);
    row.set_life(life);
    return row;
}

} // namespace tanagerhoist

#endif
