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
    /// How long the answer to a write is kept for repeats of it.
    milliseconds keep{30'000};

    /// Bytes that all kept answers may take, and those of one workspace.
    std::size_t bytes = 4U << 20U;
    std::size_t workspace_bytes = 1U << 20U;

    /// Repeats that may wait for one request in flight.
    std::size_t max_waiting_repeats = 8;
};

/// How an arriving request stands to earlier ones with its id.
enum class arrival
{
    first,           ///< none is known: run it
    attached,        ///< the first is in flight: its answer is this one's too
    answered,        ///< the first was answered: give the same answer
    mismatch,        ///< the first was a different request: refuse as malformed
    too_many_repeats ///< too many repeats wait: answer outcome_unknown
};

/// Requests in flight through this VM and the answers to recent writes, by
/// workspace and request id.
///
/// It spares the database the repeats that meet their first one here. The
/// database's own table of request ids decides across VMs, so a request that
/// is evicted or not found here loses time and no promise.
class request_registry
{
public:
    explicit request_registry(request_registry_options options = {});

    /// Result of `arrive`; `answer` is set exactly if `kind` is answered, and
    /// is valid until the next call to the registry.
    struct arrived
    {
        arrival kind;
        const proto::CallerReply* answer;
    };

    /// Takes a request in. Without a request id it is always the first.
    /// @param call handle of the caller's pending answer
    arrived arrive(moment now, std::uint64_t call, const std::string& workspace,
                   const proto::CallerRequest& request);

    /// Ends the first request's flight and keeps the answer, if `keep`, for
    /// repeats. Keep served writes only: what was refused, or whose outcome is
    /// unknown, has to be tried anew.
    /// @return calls that get this answer, ascending: the first one and the
    ///   attached ones, less those dropped
    std::vector<std::uint64_t> finish(moment now, std::uint64_t call,
                                      const proto::CallerReply& answer,
                                      bool keep);

    /// Takes a call off that needs no answer any more. A first request stays
    /// in flight, for it may still run.
    void drop(std::uint64_t call);

    /// Forgets the answers kept for long enough.
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
