#ifndef TANAGERHOIST_DECISION_REQUEST_REGISTRY_HPP
#define TANAGERHOIST_DECISION_REQUEST_REGISTRY_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist
{

struct request_registry_options
{
    /// Retention of the answer to a write, for repeats of the request.
    milliseconds keep{30'000};

    /// Maximum size of the kept answers in bytes, in total and per workspace.
    std::size_t bytes = 4U << 20U;
    std::size_t workspace_bytes = 1U << 20U;

    /// Maximum number of repeats that wait for one request in flight.
    std::size_t max_waiting_repeats = 8;
};

/// Relation of an arriving request to earlier ones with the same id.
enum class arrival
{
    first,           ///< no earlier one is known: run it
    attached,        ///< the first is in flight: wait for its answer
    answered,        ///< the first was answered: return that answer
    mismatch,        ///< the first was a different request: refuse as malformed
    too_many_repeats ///< too many repeats wait: answer outcome_unknown
};

/// Deduplicates requests on this VM: holds the requests in flight and the
/// answers to recent writes, by workspace and request id.
///
/// This is an optimization that saves the database repeats which reach the same
/// VM. Across VMs the database's own table of request ids decides, so an
/// evicted or missing entry costs time but breaks no guarantee.
class request_registry
{
public:
    explicit request_registry(request_registry_options options = {});

    /// Result of `arrive`; `answer` is set if and only if `kind` is answered,
    /// and is valid until the next call to the registry.
    struct arrived
    {
        arrival kind;
        const proto::CallerReply* answer;
    };

    /// Registers a request. One without a request id always counts as first.
    /// @param call handle for answering the caller
    arrived arrive(moment now, std::uint64_t call, const std::string& workspace,
                   const proto::CallerRequest& request);

    /// Completes a request in flight and, if `keep`, stores the answer for
    /// repeats. Only served writes may be kept: a request that was refused, or
    /// whose outcome is unknown, must be tried again.
    /// @return calls to answer, ascending: the first and the attached ones,
    ///   except those dropped
    std::vector<std::uint64_t> finish(moment now, std::uint64_t call,
                                      const proto::CallerReply& answer,
                                      bool keep);

    /// Removes a call that no longer needs an answer. The first request stays
    /// in flight, since it may still run.
    void drop(std::uint64_t call);

    /// Evicts the answers whose retention has expired.
    void on_tick(moment now);

    std::size_t in_flight() const { return in_flight_.size(); }
    std::size_t kept() const { return kept_.size(); }
    std::size_t kept_bytes() const { return bytes_; }

private:
    using key = std::pair<std::string, std::string>; ///< workspace, request id

    struct in_flight_request
    {
        std::uint64_t fingerprint = 0;
        std::uint64_t first = 0;
        std::set<std::uint64_t> calls;
    };

    struct kept_answer
    {
        std::uint64_t fingerprint = 0;
        std::uint64_t sequence = 0;
        moment until;
        std::size_t bytes = 0;
        proto::CallerReply answer;
    };

    struct workspace_answers
    {
        std::size_t bytes = 0;
        std::map<std::uint64_t, key> by_sequence; ///< oldest first
    };

    void keep_answer(moment now, const key& id, std::uint64_t fingerprint,
                     const proto::CallerReply& answer);
    void evict(const key& id);
    void evict_excess(const std::string& workspace);

    request_registry_options options_;
    std::uint64_t next_sequence_ = 0;
    std::size_t bytes_ = 0;
    std::map<key, in_flight_request> in_flight_;
    std::map<std::uint64_t, key> key_of_call_;
    std::map<key, kept_answer> kept_;
    std::map<std::uint64_t, key> kept_by_sequence_; ///< oldest first
    std::map<std::string, workspace_answers> kept_by_workspace_;
};

} // namespace tanagerhoist

#endif
