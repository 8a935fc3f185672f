#ifndef TANAGERHOIST_DECISION_LIMITER_HPP
#define TANAGERHOIST_DECISION_LIMITER_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/membership.hpp"
#include "tanagerhoist/decision/outbox.hpp"
#include "tanagerhoist/decision/settings_view.hpp"
#include "tanagerhoist/decision/share_ledger.hpp"
#include "tanagerhoist/decision/slice_policy.hpp"
#include "tanagerhoist/decision/token_bucket.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Result of `limiter::spend`.
enum class allowance
{
    granted, ///< one request was debited
    wait,    ///< a request to peers or the table is pending; retry on any input
    refused  ///< as far as known, the share of all VMs is exhausted
};

struct limiter_options
{
    /// A longer gap between two checks is treated as a freeze of this process.
    milliseconds freeze_limit{2000};
    /// Time that this VM has to be confirmed again before it accesses the
    /// table. Must exceed `membership_options::max_list_age`.
    milliseconds reconfirm_delay{4000};
    /// Timeout of a request to a peer for a slice.
    milliseconds ask_timeout{60};
    /// Pause after a round in which no peer had anything to spare. Doubles with
    /// each consecutive one, up to `max_refusal_backoff`.
    milliseconds refusal_backoff{25};
    milliseconds max_refusal_backoff{200};
    /// Number of peers asked in parallel after the first.
    std::size_t fan_out = 6;
    /// Expected demand over this time is kept from peers and requested in
    /// advance.
    milliseconds demand_horizon{100};
    /// Minimum number of resources that a tick visits in rotation.
    std::size_t min_resources_per_tick = 64;
    /// Maximum number of hints in one heartbeat.
    std::size_t max_hints = 64;
    share_ledger_options ledger;
};

/// Maximum number of connections from all VMs to one server of `database`: the
/// configured limit, capped at a multiple of the server's slots, with a minimum
/// for the cap. Statements beyond the slots would wait inside the server, first
/// come, first served, regardless of the weights of the workspaces.
std::uint64_t
effective_connection_limit(const proto::DatabaseSettings& database);

/// Distributed rate limiter. Enforces limits over all VMs together: the rate
/// and burst of each workspace, and the number of connections to each server.
///
/// Each VM holds a slice of each limit and spends it locally. A VM that runs
/// short asks its peers, first the one with the most to spare. While this
/// incarnation is unconfirmed (see `membership::confirmed`), or after a freeze,
/// it uses nothing until the table has confirmed it again.
class limiter
{
public:
    limiter(const identity& self, const membership& members,
            limiter_options options,
            std::unique_ptr<slice_policy> policy =
                std::make_unique<demand_policy>());

    void use_settings(moment now, const settings_view& settings, outbox& out);

    /// Debits one request of `workspace`.
    allowance spend(moment now, const std::string& workspace, outbox& out);

    /// Credits a request that was granted and is known not to have run.
    void refund(moment now, const std::string& workspace);

    /// Time until this VM's slice can admit a request of the workspace again.
    milliseconds retry_after(moment now, const std::string& workspace) const;

    /// Maximum number of connections from this VM to `server`.
    std::uint64_t connections(const std::string& server) const;

    /// Sets how many connections to `server` are needed and how many are in
    /// use; asks peers if the slice is too small.
    void want_connections(moment now, const std::string& server,
                          std::uint64_t wanted, std::uint64_t in_use,
                          outbox& out);

    void on_slice_ask(moment now, const proto::Incarnation& from,
                      const proto::SliceAsk& ask, outbox& out);
    void on_slice_give(moment now, const proto::Incarnation& from,
                       const proto::SliceGive& give, outbox& out);
    void on_tick(moment now, outbox& out);

    /// Adds hints to a heartbeat of how much of each resource this VM could
    /// spare. Of more than `max_hints` resources, half of the hints, rounded
    /// up, are for those whose spare amount more than doubled or halved since
    /// the last hint, as far as there are any; the rest are for all in
    /// rotation.
    void hints(proto::Heartbeat& heartbeat);
    void on_hints(const proto::Incarnation& from,
                  const proto::Heartbeat& heartbeat);

    /// Starts to transfer all slices to peers.
    void start_leaving(moment now, outbox& out);

    /// Whether all slices are transferred, or there is no peer to take them.
    bool handed_over() const;

    /// Whether the holdings of this incarnation may have been reclaimed (see
    /// `share_ledger::expelled`). It needs a new number
    /// (`incarnation_allocator::renew`) to hold anything again.
    bool expelled() const;

    /// Treats this incarnation as unconfirmed, as after a freeze. Called when a
    /// clock other than the monotonic one has jumped ahead.
    void lose_confirmation();

    /// Parts of a resource that may be used; 0 while unconfirmed.
    std::uint64_t parts(const std::string& resource) const;

private:
    /// Amounts that one peer could spare, by resource.
    struct peer_hints
    {
        std::uint64_t number = 0;
        std::map<std::string, std::uint64_t> spare;
    };
    /// One resource, `workspace/NAME` or `server/NAME`.
    struct resource
    {
        resource(const identity& self, const membership& members,
                 const std::string& name, const share_ledger_options& options)
            : ledger(self, members, name, options)
        {
        }

        share_ledger ledger;
        bool connections = false;
        token_bucket bucket;
        std::uint64_t whole = 0;  ///< parts, from the settings
        std::uint64_t burst = 0;  ///< requests
        std::uint64_t demand = 0; ///< requests per second, smoothed
        std::uint64_t asked = 0;  ///< requests since the last tick
        std::uint64_t wanted = 0; ///< connections
        std::uint64_t in_use = 0; ///< connections
        std::uint64_t ask = 0;    ///< id of the round in progress; 0: none
        bool urgent = false;      ///< a request waits for its result
        milliseconds refusal_backoff{0}; ///< after the last unsuccessful round
        std::set<std::string> asked_vms; ///< in this round
        moment ask_deadline{};
        moment refuse_until{};
        moment prefetch_after{};        ///< earliest next prefetch
        std::set<std::string> pending;  ///< VMs that have not answered yet
        moment last_asked{};            ///< last tick that found requests
        std::uint64_t hinted_spare = 0; ///< in the last hint sent
        bool awake = false;             ///< in `awake_`
    };
    using entry = std::map<std::string, resource>::value_type;

    resource& at(const std::string& name);
    resource* find(const std::string& name);
    void wake(const std::string& name, resource& each);
    void wake_all();
    bool idle(const resource& each) const;
    std::vector<entry*> resources_to_visit();
    std::uint64_t spare(const resource& each) const;
    void add_hint(entry& of, proto::Heartbeat& heartbeat) const;
    static void sync_bucket(moment now, resource& each);
    void visit(moment now, entry& of, microseconds passed, outbox& out);
    const resource* find(const std::string& name) const;
    void check_confirmation(moment now);
    bool may_access_row(moment now) const;
    holding own_holding(moment now, const resource& each) const;
    proto::Slice wanted_slice(moment now, const resource& each) const;
    void update_demand(moment now, resource& each, microseconds passed);
    void prefetch(moment now, const std::string& name, resource& each,
                  outbox& out);
    void begin_round(moment now, const std::string& name, resource& each,
                     bool urgent, outbox& out);
    void continue_round(moment now, const std::string& name, resource& each,
                        outbox& out);
    void end_round(moment now, resource& each, bool served);
    std::uint64_t spare_of(const std::string& name, const member& peer) const;
    std::vector<member> peers(moment now) const;
    static bool has_unmet_demand(moment now, const resource& each);
    void send_ask(moment now, const std::string& name, resource& each,
                  const member& to, outbox& out);
    void send_give(moment now, resource& each, const proto::Incarnation& to,
                   const proto::Slice& slice, std::uint64_t ask, outbox& out);
    void hand_over(moment now, resource& each, outbox& out);

    const identity& self_;
    const membership& members_;
    limiter_options options_;
    std::unique_ptr<slice_policy> policy_;
    std::uint64_t number_ = 0; ///< incarnation that the ledgers belong to
    std::uint64_t epoch_ = 0;  ///< times that this VM was unconfirmed
    std::optional<moment> confirmed_since_;
    moment last_check_{};
    moment last_tick_{};
    std::uint64_t next_ask_ = 1;
    bool leaving_ = false;
    bool has_no_peers_ = false; ///< no peer to transfer to
    std::uint64_t leave_ticks_ = 0;
    bool expelled_ = false;
    std::map<std::string, resource> resources_;
    std::set<std::string> awake_; ///< resources visited by each tick
    std::string last_visited_;    ///< last resource visited in rotation
    std::string last_hinted_;     ///< last resource hinted in rotation
    std::map<std::string, peer_hints> hints_; ///< by VM
};

} // namespace tanagerhoist

#endif
