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
    std::size_t waiting_repeats = 8;
};

/// How an arriving request stands to earlier ones with its id.
enum class arrival
{
    first,    ///< none is known: run it
    attached, ///< the first is in flight: its answer is this one's too
    answered, ///< the first was answered: give the same answer
    mismatch, ///< the first was a different request: refuse as malformed
    crowded   ///< too many repeats wait: answer outcome_unknown
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

    std::size_t in_flight() const { return flights_.size(); }
    std::size_t kept() const { return kept_.size(); }
    std::size_t kept_bytes() const { return bytes_; }

private:
    using key = std::pair<std::string, std::string>; ///< workspace, request id

    struct flight
    {
        std::uint64_t fingerprint = 0;
        std::uint64_t first = 0;
        std::set<std::uint64_t> calls;
    };

    struct kept_answer
    {
        std::uint64_t fingerprint = 0;
        std::uint64_t place = 0;
        moment until;
        std::size_t bytes = 0;
        proto::CallerReply answer;
    };

    struct holding
    {
        std::size_t bytes = 0;
        std::map<std::uint64_t, key> by_place; ///< oldest first
    };

    void keep_answer(moment now, const key& id, std::uint64_t fingerprint,
                     const proto::CallerReply& answer);
    void evict(const key& id);
    void make_room(const std::string& workspace);

    request_registry_options options_;
    std::uint64_t next_place_ = 0;
    std::size_t bytes_ = 0;
    std::map<key, flight> flights_;
    std::map<std::uint64_t, key> flight_of_call_;
    std::map<key, kept_answer> kept_;
    std::map<std::uint64_t, key> by_place_; ///< oldest first
    std::map<std::string, holding> holdings_;
};

} // namespace tanagerhoist

#endif
