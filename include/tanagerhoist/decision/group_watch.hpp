#ifndef TANAGERHOIST_DECISION_GROUP_WATCH_HPP
#define TANAGERHOIST_DECISION_GROUP_WATCH_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/call_set.hpp"
#include "tanagerhoist/decision/outbox.hpp"
#include "tanagerhoist/decision/primary_evidence.hpp"
#include "tanagerhoist/decision/promotion.hpp"
#include "tanagerhoist/decision/term_source.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Pace of a watcher.
struct group_watch_options
{
    /// Pace of probes to the primary, and to all servers while in doubt.
    milliseconds probe_interval{150};
    /// Pace of probes to the other servers while all is well.
    milliseconds replica_interval{1000};
    /// Longest wait for a probe's answer.
    milliseconds probe_timeout{300};
    /// Pace of questions to fellow watchers while in doubt.
    milliseconds ask_interval{150};
    /// Head start that each rank leaves to the one before it.
    milliseconds rank_delay{300};
    /// Longest time between two inputs before evidence counts as stale.
    milliseconds max_input_gap{400};
    evidence_options evidence;
    promotion_options promotion;
};

/// One VM's watch over one database group: it probes the servers, compares
/// what it sees with its fellow watchers, and replaces a lost primary.
class group_watch
{
public:
    /// What a watch reports to its owner.
    struct callbacks
    {
        /// A server claims to be primary of a term above the believed one.
        std::function<void(moment, const proto::PrimaryBelief&)> found;
        /// This watch has promoted a server.
        std::function<void(moment, const proto::PrimaryBelief&, outbox&)> won;
        /// Asks a fellow watcher what it sees of the believed primary.
        std::function<void(moment, const std::string& vm, outbox&)> ask;
    };

    group_watch(moment now, std::string database,
                std::vector<std::string> servers, term_source& terms,
                group_watch_options options, callbacks calls);

    /// Sets all watchers of the group, by rank; this VM is at `rank`.
    void set_watchers(std::vector<std::string> vms, unsigned rank);

    /// Takes the belief in force. Evidence about an older one is discarded.
    void set_belief(moment now, const proto::PrimaryBelief& belief);

    /// Probes, asks and acts as far as due.
    void on_tick(moment now, outbox& out);

    /// Takes a fellow watcher's answer about the believed primary.
    void on_answer(moment now, const std::string& vm, bool reachable,
                   outbox& out);

    /// Probes all servers at the next tick.
    void probe_all_now(moment now);

    /// Fills in what this watch sees of the believed primary.
    void fill_answer(moment now, proto::SuspectAnswer& answer) const;

    /// Whether a promotion of its own is under way.
    bool promoting() const { return promotion_ != nullptr; }

    /// Forgets outstanding calls; must precede the destructor.
    void close(outbox& out);

    const std::vector<std::string>& servers() const { return servers_; }

private:
    void discard_stale_evidence(moment now);
    void send_due_probes(moment now, primary_state state, outbox& out);
    void probe(moment now, const std::string& server, outbox& out);
    void on_probe(moment now, const std::string& server, std::uint64_t epoch,
                  const proto::StatusReply* status, outbox& out);
    void report_newer_primary(moment now, const std::string& server,
                              const proto::StatusReply& status);
    void send_due_asks(moment now, outbox& out);
    primary_state assess(moment now) const;
    void start_promotion_if_due(moment now, outbox& out);
    void start_promotion(moment now, outbox& out);
    void note(const char* kind, std::string detail, outbox& out) const;

    std::string database_;
    std::vector<std::string> servers_;
    term_source& terms_;
    group_watch_options options_;
    callbacks callbacks_;
    std::vector<std::string> watchers_;
    unsigned rank_ = 0;
    std::optional<proto::PrimaryBelief> belief_;
    primary_evidence evidence_;
    std::map<std::string, moment> next_probe_;
    moment next_ask_;
    std::optional<moment> lost_since_;
    moment last_input_;
    std::uint64_t epoch_ = 0; ///< evidence of earlier ones is stale
    std::unique_ptr<promotion> promotion_;
    call_set calls_;
};

} // namespace tanagerhoist

#endif
