#ifndef TANAGERHOIST_TESTS_COORDINATOR_LEASE_FIXTURE_HPP
#define TANAGERHOIST_TESTS_COORDINATOR_LEASE_FIXTURE_HPP

#include "fake_row_store.hpp"
#include "member_rows.hpp"
#include "proxy_fixture.hpp"
#include "tanagerhoist/fleet/coordinator_lease.hpp"
#include "tanagerhoist/fleet/coordinator_writes.hpp"
#include "tanagerhoist/fleet/era_row_store.hpp"
#include "tanagerhoist/fleet/fleet_members.hpp"

#include <string>

namespace tanagerhoist
{

/// Two VMs that take the coordinator lease from one store.
struct two_vms
{
    moment now{std::chrono::hours(1)};
    fake_row_store plain{now};
    era_row_store store{plain};
    null_log lines;
    coordinator_lease a{store, member("a", 1), [this] { return now; }, lines};
    coordinator_lease b{store, member("b", 2), [this] { return now; }, lines};
    const moment never{};

    /// Writes the first lead of a new group in a term.
    store_result write_in(const coordinator_term& term)
    {
        proto::GroupLead lead;
        lead.set_group("g" + std::to_string(++groups));
        return store.write(lead_change(term, lead, 0)).result;
    }

    /// Removes a row that is as known in a term.
    store_result remove_in(const coordinator_term& term)
    {
        const auto added =
            store.write({{}, {{member_table, "v", "", 0, false}}, {}});
        return store.write(vm_removal(term, "v", added.version)).result;
    }

    int groups = 0;
};

} // namespace tanagerhoist

#endif
