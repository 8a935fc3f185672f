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

/// Bounds that turn observations into evidence.
struct evidence_options
{
    /// Own probes that must fail in a row.
    unsigned failed_probes = 3;
    /// Time without a good answer before a server counts as unreachable.
    milliseconds unreachable_after{500};
    /// Time of silence that a server must report of another.
    milliseconds silent_after{500};
    /// How long a status or a peer's answer counts.
    milliseconds max_evidence_age{500};
};

/// What a watcher makes of a group's primary.
enum class primary_state
{
    healthy,
    doubtful, ///< ask around; not enough to act upon
    lost      ///< shown by more than one vantage: replace it
};

/// Evidence of one watcher about one database group. It is discarded as a
/// whole whenever the watcher cannot vouch for its age.
class primary_evidence
{
public:
    primary_evidence(std::vector<std::string> servers,
                     evidence_options options);

    /// Discards everything observed; silence is counted from `now`.
    void restart(moment now);

    /// Takes a server's answer to a probe.
    void on_status(moment now, const std::string& server,
                   const proto::StatusReply& status);

    /// Takes a probe that failed.
    void on_probe_failure(moment now, const std::string& server);

    /// Takes a fellow watcher's answer about the believed primary.
    void on_answer(moment now, const std::string& vm, bool reachable);

    /// Judges the believed primary; `believed` is null while it is unknown.
    /// @param watchers how many VMs watch the group, this one included
    primary_state assess(moment now, const proto::PrimaryBelief* believed,
                         std::size_t watchers) const;

    /// Whether own probes show that `server` cannot be reached from here.
    bool unreachable(moment now, const std::string& server) const;

    /// Whether `server` answered lately and no probe failed since.
    bool reachable(moment now, const std::string& server) const;

    /// Whether `server` said lately that a majority follows it as primary.
    bool replicating(moment now, const std::string& server) const;

    /// Highest term met in any status, ever.
    std::uint64_t highest_term() const { return highest_term_; }

private:
    struct server_evidence
    {
        unsigned failed_probes = 0;
        bool heard = false;
        moment last_good;
        moment status_at;
        moment sealed_at; ///< when its present sealed term was first seen
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
