#ifndef TANAGERHOIST_DECISION_GROUP_WATCH_HPP
#define TANAGERHOIST_DECISION_GROUP_WATCH_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"
#include "tanagerhoist/decision/pending_calls.hpp"
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

/// Intervals and timeouts of a watcher.
struct group_watch_options
{
    /// Interval between probes of the primary; of all servers while the
    /// primary is not known to be healthy.
    milliseconds probe_interval{150};
    /// Interval between probes of the replicas while the primary is healthy.
    milliseconds replica_interval{1000};
    /// Timeout of a probe.
    milliseconds probe_timeout{300};
    /// Interval between queries to the other watchers while the primary is
    /// not known to be healthy.
    milliseconds ask_interval{150};
    /// Delay before a promotion, per rank, so that the watcher with the lowest
    /// rank usually promotes alone.
    milliseconds rank_delay{300};
    /// A longer gap between two inputs means that this process was paused;
    /// all evidence from before the gap is discarded.
    milliseconds max_input_gap{400};
    evidence_options evidence;
    promotion_options promotion;
};

/// Failure detector and failover of one database group on one VM. It probes
/// the servers, compares its observations with those of the other watchers, and
/// promotes a replica when the primary is lost.
class group_watch
{
public:
    /// Calls from the watch to its owner.
    struct callbacks
    {
        /// A server reports itself primary of a higher term than the known one.
        std::function<void(moment, const proto::PrimaryBelief&)> found;
        /// This watch has promoted a server.
        std::function<void(moment, const proto::PrimaryBelief&, outbox&)> won;
        /// Asks another watcher whether it can reach the believed primary.
        std::function<void(moment, const std::string& vm, outbox&)> ask;
    };

    group_watch(moment now, std::string database,
                std::vector<std::string> servers, term_source& terms,
                group_watch_options options, callbacks calls);

    /// Sets all watchers of the group, ordered by rank; this VM's is `rank`.
    void set_watchers(std::vector<std::string> vms, unsigned rank);

    /// Sets the current primary and term. Discards the evidence gathered so
    /// far and abandons a promotion to a lower term.
    void set_belief(moment now, const proto::PrimaryBelief& belief);

    /// Sends the probes and queries that are due and starts or continues a
    /// promotion.
    void on_tick(moment now, outbox& out);

    /// Handles another watcher's answer about the believed primary. Answers
    /// of VMs that do not watch the group are ignored.
    void on_answer(moment now, const std::string& vm, bool reachable,
                   outbox& out);

    /// Makes probes of all servers due at the next tick.
    void probe_all_now(moment now);

    /// Fills in whether this watch can reach the believed primary and whether
    /// that primary replicates. Leaves `answer` alone if none is known.
    void fill_answer(moment now, proto::SuspectAnswer& answer) const;

    /// Whether a promotion started by this watch is in progress.
    bool promoting() const { return promotion_ != nullptr; }

    /// Drops outstanding calls; must be called before the destructor.
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
    /// Replies to probes of earlier epochs are ignored.
    std::uint64_t epoch_ = 0;
    std::unique_ptr<promotion> promotion_;
    pending_calls calls_;
};

} // namespace tanagerhoist

#endif
