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

/// Answer to a request for allowance.
enum class allowance
{
    granted, ///< one request was debited
    wait,    ///< peers or the table are being asked; ask again after any input
    refused  ///< the whole share is spent, as far as it can be told
};

struct limiter_options
{
    /// A longer gap between ticks counts as a freeze.
    milliseconds freeze_limit{2000};
    /// Time that this VM is confirmed anew before the table is asked. It has
    /// to exceed `membership_options::list_limit`.
    milliseconds reconfirm_delay{4000};
    /// Time that a peer has to answer for a slice.
    milliseconds ask_timeout{60};
    /// Time without further asking after all peers had nothing to spare. It
    /// doubles with each such round in a row, up to `max_refusal_backoff`.
    milliseconds refusal_backoff{25};
    milliseconds max_refusal_backoff{200};
    /// Peers asked at once after the first.
    std::size_t fan_out = 6;
    /// Demand over this time is kept back from peers and asked for ahead.
    milliseconds demand_horizon{100};
    /// Resources without demand that a tick visits in rotation, at least.
    std::size_t min_resources_per_tick = 64;
    /// Resources that one heartbeat tells of, at most.
    std::size_t max_hints = 64;
    share_ledger_options ledger;
};

/// Connections to one server of `database` that all VMs together may hold: its
/// setting, but no more than keep the server's slots busy, and a few at least.
/// Further statements would wait inside the server, first come first served,
/// where no workspace's weight counts.
std::uint64_t
effective_connection_limit(const proto::DatabaseSettings& database);

/// Fleet-wide limits: the rate and burst of each workspace and the number of
/// connections to each server, over all VMs together.
///
/// Each VM holds a slice of each and spends it without asking. One that runs
/// short asks peers, the one with most to spare first. While its own place is
/// in doubt (see `membership::confirmed`), or after a freeze, it uses nothing
/// until the table has confirmed it.
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

    /// Adds to a heartbeat what this VM could spare: of all resources, or of
    /// `max_hints` where there are more, first those whose spare changed much
    /// since it was last told, then the others in rotation.
    void hints(proto::Heartbeat& heartbeat);
    void on_hints(const proto::Incarnation& from,
                  const proto::Heartbeat& heartbeat);

    /// Gives all slices to peers.
    void start_leaving(moment now, outbox& out);

    /// Whether nothing is left to hand over, or nobody to take it.
    bool handed_over() const;

    /// Whether peers have closed their books on this incarnation. It then
    /// needs a new number (`incarnation_allocator::renew`) to hold anything
    /// again.
    bool expelled() const;

    /// Treats what is held as in doubt, as after a freeze; for the case that a
    /// clock other than the monotonic one has leapt ahead.
    void lose_confirmation();

    /// Parts of a resource that may be used; 0 while in doubt.
    std::uint64_t parts(const std::string& resource) const;

private:
    /// What one peer could spare, by resource.
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
        std::uint64_t whole = 0;         ///< parts by the settings
        std::uint64_t burst = 0;         ///< requests
        std::uint64_t demand = 0;        ///< requests per second, smoothed
        std::uint64_t asked = 0;         ///< requests since the last tick
        std::uint64_t wanted = 0;        ///< connections
        std::uint64_t in_use = 0;        ///< connections
        std::uint64_t ask = 0;           ///< of the round in progress; 0: none
        bool urgent = false;             ///< a request waits for the round
        milliseconds refusal_backoff{0}; ///< after the last round without gain
        std::set<std::string> asked_vms; ///< in this round
        moment ask_deadline{};
        moment refuse_until{};
        moment prefetch_after{};        ///< when to ask ahead of need again
        std::set<std::string> pending;  ///< VMs asked and not yet heard
        moment last_asked{};            ///< when a tick last found requests
        std::uint64_t hinted_spare = 0; ///< spare in the last hint
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
    std::uint64_t number_ = 0; ///< that the books were begun under
    std::uint64_t epoch_ = 0;  ///< times that this VM's place was in doubt
    std::optional<moment> confirmed_since_;
    moment last_check_{};
    moment last_tick_{};
    std::uint64_t next_ask_ = 1;
    bool leaving_ = false;
    bool has_no_peers_ = false; ///< no peer to hand over to
    std::uint64_t leave_ticks_ = 0;
    bool expelled_ = false;
    std::map<std::string, resource> resources_;
    std::set<std::string> awake_; ///< resources that each tick has to visit
    std::string last_visited_;    ///< last one visited in rotation
    std::string last_hinted_;     ///< last one told of in rotation
    std::map<std::string, peer_hints> hints_; ///< by VM
};

} // namespace tanagerhoist

#endif
