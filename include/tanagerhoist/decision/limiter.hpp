#ifndef TANAGERHOIST_DECISION_LIMITER_HPP
#define TANAGERHOIST_DECISION_LIMITER_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/membership.hpp"
#include "tanagerhoist/decision/outbox.hpp"
#include "tanagerhoist/decision/settings_view.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerhoist
{

/// Answer to a request for allowance.
enum class allowance
{
    granted, ///< one request was debited
    wait,    ///< peers or the table are being asked; ask again after any input
    refused  ///< the whole share is spent, as far as it can be told
};

struct limiter_options
{
};

/// Fleet-wide limits: the rate and burst of each workspace and the number of
/// connections to each server, over all VMs together.
class limiter
{
public:
    limiter(const identity& self, const membership& members,
            limiter_options options);

    void use_settings(moment now, const settings_view& settings, outbox& out);

    /// Debits one request of `workspace`.
    allowance spend(moment now, const std::string& workspace, outbox& out);

    /// Credits a request that was granted and provably not run.
    void refund(moment now, const std::string& workspace);

    /// Time until the workspace's share can admit a request again.
    milliseconds retry_after(moment now, const std::string& workspace) const;

    /// Connections that this VM may hold to `server` now.
    std::uint64_t connections(const std::string& server) const;

    /// States the need for connections to `server`, and how many are open.
    void want_connections(moment now, const std::string& server,
                          std::uint64_t wanted, std::uint64_t in_use,
                          outbox& out);

    void on_slice_ask(moment now, const proto::Incarnation& from,
                      const proto::SliceAsk& ask, outbox& out);
    void on_slice_give(moment now, const proto::Incarnation& from,
                       const proto::SliceGive& give, outbox& out);
    void on_tick(moment now, outbox& out);

    /// Adds to a heartbeat what this VM could spare.
    void hints(proto::Heartbeat& heartbeat) const;
    void on_hints(const proto::Incarnation& from,
                  const proto::Heartbeat& heartbeat);

    /// Gives all slices to peers.
    void start_leaving(moment now, outbox& out);

    /// Whether nothing is left to hand over.
    bool handed_over() const { return leaving_; }

private:
    struct bucket
    {
        std::uint64_t rate = 0;
        std::uint64_t burst = 0;
        std::uint64_t tokens = 0; ///< millionths of a request
        moment filled{};
    };

    const identity& self_;
    const membership& members_;
    bool leaving_ = false;
    std::map<std::string, bucket> buckets_;
    std::map<std::string, std::uint64_t> connections_;
};

} // namespace tanagerhoist

#endif
