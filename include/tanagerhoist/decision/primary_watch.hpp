#ifndef TANAGERHOIST_DECISION_PRIMARY_WATCH_HPP
#define TANAGERHOIST_DECISION_PRIMARY_WATCH_HPP

#include "settings.pb.h"
#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/group_watch.hpp"
#include "tanagerhoist/decision/outbox.hpp"
#include "tanagerhoist/decision/primary_row_writer.hpp"
#include "tanagerhoist/decision/rendezvous.hpp"
#include "tanagerhoist/decision/term_source.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Returns the VMs that currently serve, sorted by name; includes this one
/// unless it is leaving.
using vm_source = std::function<std::vector<std::string>(moment)>;

/// Intervals and limits of `primary_watch`.
struct primary_watch_options
{
    /// Number of VMs that watch one database.
    std::size_t watchers = 3;
    /// Interval between refreshes of the list of serving VMs.
    milliseconds list_interval{250};
    /// Interval between queries to the watchers of a database that this VM
    /// does not watch, while its primary is unknown or reported as failed.
    milliseconds ask_interval{200};
    group_watch_options group;
    primary_row_options row;
};

/// Tracks the primary of every database, and detects and replaces failed
/// primaries of the databases that rendezvous hashing assigns to this VM.
///
/// The result of `primary` may be out of date. This is safe: a write to a
/// superseded primary is refused by the servers, or not confirmed. A promotion
/// needs neither the platform nor a single coordinator.
class primary_watch
{
public:
    /// @param self must outlive this; no promotion starts while its number is 0
    primary_watch(const identity& self, vm_source serving,
                  primary_watch_options options = {});

    /// Applies the databases and servers of `settings`.
    void use_settings(moment now, const proto::Settings& settings);

    /// Sends the probes and queries that are due and runs promotions.
    void on_tick(moment now, outbox& out);

    /// Answers a VM that asks about a database's primary.
    void on_suspect_ask(moment now, const proto::Incarnation& from,
                        const proto::SuspectAsk& ask, outbox& out);

    /// Handles an answer, or the announcement of a promotion.
    void on_suspect_answer(moment now, const proto::Incarnation& from,
                           const proto::SuspectAnswer& answer, outbox& out);

    /// Adopts `belief` if its term is higher than the known one.
    void update_belief(moment now, const proto::PrimaryBelief& belief);

    /// Reports that a request's call to `server` failed, so that the servers
    /// are probed, or the watchers asked, at the next tick.
    void report_failure(moment now, const std::string& database,
                        const std::string& server);

    /// Primary of `database`; null while it is unknown. Valid until the next
    /// call of a non-const member.
    const proto::PrimaryBelief* primary(const std::string& database) const;

    /// Number of changes of any database's primary so far.
    std::uint64_t changes() const { return changes_; }

    /// Adds the primaries that changed since the last call to `heartbeat`.
    void take_unsent_beliefs(proto::Heartbeat& heartbeat);

    /// Watchers of `database`, by rank, computed from this VM's list of VMs.
    std::vector<std::string> watchers(const std::string& database) const;

private:
    struct database_state
    {
        std::vector<std::string> servers;
        std::optional<proto::PrimaryBelief> belief;
        /// Null if this VM does not watch it.
        std::unique_ptr<group_watch> watch;
        moment next_ask;
        std::size_t asked = 0; ///< queries sent; selects the next watcher
    };

    void refresh_watchers(moment now, outbox& out);
    void assign(moment now, const std::string& database, database_state& state,
                outbox& out);
    std::unique_ptr<group_watch> make_watch(moment now,
                                            const std::string& database,
                                            const database_state& state);
    void stop_watch(database_state& state, outbox& out);
    void ask_watchers(moment now, outbox& out);
    void ask(moment now, const std::string& database, const std::string& vm,
             outbox& out);
    void on_won(moment now, const proto::PrimaryBelief& belief, outbox& out);

    const identity& self_;
    vm_source serving_;
    primary_watch_options options_;
    term_source terms_;
    primary_row_writer rows_;
    std::vector<std::string> vms_;
    rendezvous owners_;
    moment next_list_;
    bool reassign_ = true;
    std::map<std::string, database_state> databases_;
    std::set<std::string> watched_;
    std::set<std::string> unresolved_; ///< not watched here; ask watchers
    std::set<std::string> unsent_beliefs_;
    std::uint64_t changes_ = 0;
};

} // namespace tanagerhoist

#endif
