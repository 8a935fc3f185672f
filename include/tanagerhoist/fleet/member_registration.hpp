#ifndef TANAGERHOIST_FLEET_MEMBER_REGISTRATION_HPP
#define TANAGERHOIST_FLEET_MEMBER_REGISTRATION_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/row_store.hpp"
#include "tanagerhoist/fleet/store_clock.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace tanagerhoist
{

/// This VM's row in the store, which registers it. A write of the row on the
/// condition that no lead has changed renews the primary lease.
class member_registration
{
public:
    using clock = std::function<moment()>;

    /// Outcome of a write of the row.
    struct renewal
    {
        store_transaction change;
        store_answer answer;
        moment lease_from{}; ///< the renewed primary lease counts from then
    };

    /// @param store must outlive this object
    /// @param self the row, but for its time
    member_registration(row_store& store, proto::MemberRow self, clock now);

    /// Takes over the result of a read of all VMs' rows.
    /// @param version of this VM's row; 0: there is none
    void use_read(const store_answer& read, std::uint64_t version);

    /// Writes the row if it is as known and the conditions hold.
    renewal write(std::vector<store_row> conditions);

    /// Removes the row if this process wrote it, so that seals no longer wait
    /// for this VM. It must not use a primary any more.
    /// @param store one that no other fiber uses
    store_result remove(row_store& store) const;

    /// Version of the row; 0: there is none.
    std::uint64_t version() const { return version_; }

private:
    store_transaction removal_of(std::uint64_t version) const;
    std::optional<std::uint64_t>
    own_version(const store_answer& conflict) const;

    row_store& store_;
    proto::MemberRow self_;
    clock now_;
    store_clock store_clock_;
    std::uint64_t version_ = 0;
};

} // namespace tanagerhoist

#endif
