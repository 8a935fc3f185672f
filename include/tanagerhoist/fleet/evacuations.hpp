#ifndef TANAGERHOIST_FLEET_EVACUATIONS_HPP
#define TANAGERHOIST_FLEET_EVACUATIONS_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/backend_server.hpp"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Time in which work at the servers of an evacuated data centre may end, and
/// primaries there are replaced. It leaves most of the operator's bound for the
/// news to reach all VMs.
constexpr milliseconds evacuation_work_time{1500};

/// A changed row of the operator's table that evacuates a data centre.
struct evacuation_change
{
    std::string data_centre;
    std::uint64_t version = 0; ///< of the row
    bool removed = false;      ///< taken back
};

/// Data centres that the operator evacuates, as this VM knows them from its own
/// copy of the operator's table or from other VMs' copies. The newest copy
/// wins.
class evacuations
{
public:
    using name_set = std::set<std::string>;

    /// Uses the state of the operator's table at a version of the store. A data
    /// centre that is new closes at once unless the news is certain to be
    /// fresh. One that is missing only because the store has come back older
    /// stays evacuated for `rewrite_time`, in which the operator can repeat it.
    /// @return whether the evacuated data centres have changed
    bool use(moment now, std::uint64_t version, const name_set& listed);

    /// The same for changed rows: they change the newest list, which may be
    /// another VM's, since this VM's watch may go on from that one's version.
    /// @param version of the store that the rows lead to
    bool use_changes(moment now, std::uint64_t version,
                     const std::vector<evacuation_change>& changes);

    /// Ends evacuations that the restored store lacks and nobody has repeated.
    /// @return whether any has ended
    bool end_lapsed(moment now);

    /// Sets when each of the servers closes.
    void mark(server_list& servers) const;

    /// Evacuated data centres.
    name_set names() const;

    /// Version of the store that the newest copy reflects; 0: none is known.
    std::uint64_t version() const { return version_; }

private:
    moment closing_time(moment now) const;
    void end(const std::string& name);

    std::uint64_t version_ = 0;
    name_set listed_;                         ///< in the newest copy
    moment confirmed_at_{};                   ///< by the newest copy
    std::map<std::string, moment> closes_at_; ///< by evacuated data centre
    /// When evacuations end that a restored store lacks.
    std::map<std::string, moment> lapses_at_;
};

} // namespace tanagerhoist

#endif
