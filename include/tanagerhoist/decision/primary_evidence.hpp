#ifndef TANAGERHOIST_DECISION_PRIMARY_EVIDENCE_HPP
#define TANAGERHOIST_DECISION_PRIMARY_EVIDENCE_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Thresholds of failure detection.
struct evidence_options
{
    /// Consecutive failed probes before a server counts as unreachable.
    unsigned failed_probes = 3;
    /// Time without a successful probe before a server counts as unreachable;
    /// both thresholds must be reached.
    milliseconds unreachable_after{500};
    /// A replica must report that it has not heard from its primary, or a
    /// primary from a majority of its replicas, for at least this time. Also
    /// the minimum age of a seal that counts as abandoned.
    milliseconds silent_after{500};
    /// Age up to which a status or another watcher's answer is used.
    milliseconds max_evidence_age{500};
};

/// A watcher's assessment of a group's primary.
enum class primary_state
{
    healthy,
    doubtful, ///< query the other watchers; not enough for a promotion
    lost      ///< confirmed by more than one observer, or an abandoned seal
              ///< above its term persists: promote another server
};

/// Evidence of one watcher about one database group. The watcher discards all
/// of it when it cannot tell how old it is, such as after a pause.
class primary_evidence
{
public:
    primary_evidence(std::vector<std::string> servers,
                     evidence_options options);

    /// Discards all observations except the highest term; the time without a
    /// successful probe counts from `now`.
    void restart(moment now);

    /// Records a server's answer to a probe.
    void on_status(moment now, const std::string& server,
                   const proto::StatusReply& status);

    /// Records a failed probe.
    void on_probe_failure(moment now, const std::string& server);

    /// Records another watcher's answer about the believed primary.
    void on_answer(moment now, const std::string& vm, bool reachable);

    /// Assesses the believed primary; `believed` is null while it is unknown.
    /// @param watchers number of VMs that watch the group, including this one
    primary_state assess(moment now, const proto::PrimaryBelief* believed,
                         std::size_t watchers) const;

    /// Whether this VM's probes show that it cannot reach `server`; true for a
    /// server outside the group.
    bool unreachable(moment now, const std::string& server) const;

    /// Whether `server` answered recently and no probe has failed since.
    bool reachable(moment now, const std::string& server) const;

    /// Whether `server` recently reported that it is primary and that a
    /// majority replicates from it.
    bool replicating(moment now, const std::string& server) const;

    /// Highest term seen in any status; kept by `restart()`.
    std::uint64_t highest_term() const { return highest_term_; }

private:
    struct server_evidence
    {
        unsigned failed_probes = 0;
        bool heard = false;
        moment last_good;
        moment status_at;
        moment sealed_at; ///< when its current sealed term was first seen
        proto::StatusReply status;
    };

    struct peer_answer
    {
        moment at;
        bool reachable = false;
    };

    const proto::StatusReply* fresh_status(moment now,
                                           const std::string& server) const;
    bool silent(const proto::StatusReply& status) const;
    std::size_t silent_servers(moment now, const std::string& except) const;
    bool others_silent(moment now, const std::string& primary) const;
    bool watchers_agree(moment now, std::size_t watchers) const;
    bool has_newer_seal(moment now, std::uint64_t term) const;
    bool has_abandoned_seal_above(moment now, std::uint64_t term) const;
    primary_state assess_unknown_primary(moment now) const;
    primary_state
    assess_reachable_primary(moment now, const proto::PrimaryBelief& believed,
                             const proto::StatusReply& status) const;

    evidence_options options_;
    std::uint64_t highest_term_ = 0;
    std::map<std::string, server_evidence> servers_;
    std::map<std::string, peer_answer> answers_;
};

} // namespace tanagerhoist

#endif
