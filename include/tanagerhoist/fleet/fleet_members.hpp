#ifndef TANAGERHOIST_FLEET_FLEET_MEMBERS_HPP
#define TANAGERHOIST_FLEET_FLEET_MEMBERS_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerhoist
{

/// Table of the registered VMs; the key is the VM's name.
constexpr const char* member_table = "members";

/// A VM's row as the store has it.
struct fleet_member
{
    proto::MemberRow row;
    std::uint64_t version = 0; ///< of the row; 0: the store has none
};

/// Rows of all registered VMs, and when they were read.
struct fleet_members
{
    std::map<std::string, fleet_member> rows; ///< by VM
    milliseconds store_now{0}; ///< lower bound of the store's clock
    moment read_at{};          ///< when the read was sent
    moment answered_at{};      ///< when its answer came
    /// Until then the store, which has come back older, may lack VMs or
    /// renewals whose primary leases are still valid.
    moment incomplete_until{};

    /// Replaces the rows by those of a read. While they are incomplete, VMs
    /// and renewals that are missing from it are kept.
    void replace(std::map<std::string, fleet_member> read);

    /// Forgets a VM whose row of that version was to be removed, unless a
    /// newer row is known.
    void forget(const std::string& vm, std::uint64_t version);
};

} // namespace tanagerhoist

#endif
