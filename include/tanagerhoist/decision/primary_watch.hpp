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

/// Gives the VMs that serve now, sorted by name, this one included unless it
/// is leaving.
using vm_source = std::function<std::vector<std::string>(moment)>;

struct primary_watch_options
{
    /// VMs that watch one database.
    std::size_t watchers = 3;
    /// Pace at which the list of serving VMs is looked at.
    milliseconds list_interval{250};
    /// Pace of questions to the watchers of a database that this VM does not
    /// watch, while its primary is unknown or was reported to fail.
    milliseconds ask_interval{200};
    group_watch_options group;
    primary_row_options row;
};

/// Knows the primary of every database, and watches over the databases that
/// rendezvous hashing gives to this VM.
///
/// What `primary` says is a belief: a write to a superseded primary is refused
/// by the servers, or not confirmed. The promotion of a new one needs neither
/// the platform nor a single owner.
class primary_watch
{
public:
    /// @param self outlives this; while its number is 0 nothing is promoted
    primary_watch(const identity& self, vm_source serving,
                  primary_watch_options options = {});

    /// Takes the databases and servers in force.
    void use_settings(moment now, const proto::Settings& settings);

    /// Probes, asks and promotes as far as due.
    void on_tick(moment now, outbox& out);

    /// Answers a VM that asks about a database's primary.
    void on_suspect_ask(moment now, const proto::Incarnation& from,
                        const proto::SuspectAsk& ask, outbox& out);

    /// Takes an answer, or news of a promotion.
    void on_suspect_answer(moment now, const proto::Incarnation& from,
                           const proto::SuspectAnswer& answer, outbox& out);

    /// Takes a belief from a peer; the highest term wins.
    void update_belief(moment now, const proto::PrimaryBelief& belief);

    /// Notes that a call on behalf of a request failed at `server`: the watch
    /// looks at once instead of at its next turn.
    void report_failure(moment now, const std::string& database,
                        const std::string& server);

    /// Primary of `database`; null while it is unknown. Valid until the next
    /// call of a member that is not const.
    const proto::PrimaryBelief* primary(const std::string& database) const;

    /// Grows with every change of a belief.
    std::uint64_t changes() const { return changes_; }

    /// Adds the beliefs learnt since the last call.
    void take_unsent_beliefs(proto::Heartbeat& heartbeat);

    /// Watchers of `database`, by rank, as this VM sees them.
    std::vector<std::string> watchers(const std::string& database) const;

private:
    struct database_state
    {
        std::vector<std::string> servers;
        std::optional<proto::PrimaryBelief> belief;
        std::unique_ptr<group_watch> watch; ///< null: others watch it
        moment next_ask;
        std::size_t asked = 0; ///< questions sent, for turns
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
    std::set<std::string> unresolved_; ///< not watched, to be asked about
    std::set<std::string> unsent_beliefs_;
    std::uint64_t changes_ = 0;
};

} // namespace tanagerhoist

#endif
