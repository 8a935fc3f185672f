#ifndef TANAGERHOIST_DECISION_MEMBERSHIP_HPP
#define TANAGERHOIST_DECISION_MEMBERSHIP_HPP

#include "messages.pb.h"
#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// One VM that takes part in serving.
struct member
{
    std::string vm;
    std::string data_centre;
    std::uint64_t number = 0; ///< incarnation; 0: not heard yet
    bool leaving = false;
};

/// Intervals of `membership`. `reclaim_wait` has to exceed
/// `max_confirmation_age` by the drift of two clocks over that time.
struct membership_options
{
    milliseconds heartbeat_interval{250};
    milliseconds heartbeat_timeout{1000};
    milliseconds list_interval{1000};
    milliseconds call_timeout{1000};
    /// Age up to which the list may show that a VM is absent.
    milliseconds max_list_age{3000};
    /// Age up to which a sign that this incarnation still counts is good.
    milliseconds max_confirmation_age{3000};
    /// Time between a VM's absence from the list and the end of its claims.
    milliseconds reclaim_wait{5000};
};

/// Who takes part: the platform's list of VMs combined with heartbeats.
///
/// The list says who belongs, the heartbeats who answers. A VM that is listed
/// but silent is not serving and keeps what it holds; one that the list drops,
/// or whose name a newer incarnation bears, is gone after `reclaim_wait`.
///
/// Heartbeats echo the time that the receiver stamped on its own, so that a
/// delayed heartbeat proves nothing newer than what it answers. `confirmed`
/// rests on that: it ends before any peer may regard this incarnation as gone.
class membership
{
public:
    /// @param self read at each use, since its number is allotted later
    membership(const identity& self, membership_options options);

    /// Sends heartbeats that carry `news` and reads the platform's list.
    void on_tick(moment now, const proto::Heartbeat& payload, outbox& out);

    /// Whether the next `on_tick` at `now` sends heartbeats.
    bool heartbeat_due(moment now) const { return now >= next_heartbeat_; }

    void on_heartbeat(moment now, const proto::Incarnation& from,
                      const proto::Heartbeat& heartbeat);

    /// Announces with the next heartbeats that this VM takes no new work.
    void start_leaving();

    /// VMs that are listed and heard, self included unless leaving, in
    /// ascending order of VM. Good until the next call or input.
    const std::vector<member>& serving(moment now) const;

    /// Number of VMs of the platform's list.
    std::size_t listed_count() const { return listed_.size(); }

    /// When the list or a VM's incarnation last changed, or the list came back
    /// after it was too old to tell; moment zero if never.
    moment last_change() const { return last_change_; }

    /// Whether a majority of the listed VMs is heard; self counts.
    bool majority_heard(moment now) const;

    /// Whether this VM is one of the few per data centre that poll the
    /// platform on behalf of the others.
    bool polls_platform(moment now) const;

    /// Whether incarnation `number` of `vm` lost its place long enough ago
    /// that it can no longer regard itself as confirmed.
    bool gone(const std::string& vm, std::uint64_t number, moment now) const;

    /// As above, for an incarnation that was heard since this process began.
    bool gone(std::uint64_t number, moment now) const;

    /// Whether `who` is listed and bears the latest number heard of its VM.
    bool current(const proto::Incarnation& who) const;

    /// Whether nobody can hold this incarnation for gone yet: the platform's
    /// list, or a majority of the listed VMs, has answered a call or heartbeat
    /// sent no longer than `max_confirmation_age` ago.
    bool confirmed(moment now) const;

    /// Whether `vm` is listed, or was so less than `reclaim_wait` ago.
    bool recently_listed(const std::string& vm, moment now) const;

    /// VMs that are listed, or were so less than `reclaim_wait` ago.
    std::vector<std::string> recently_listed(moment now) const;

    /// When the platform's list was last read; moment zero if never.
    moment last_list() const { return last_list_; }

private:
    struct peer
    {
        std::uint64_t number = 0;
        moment since{};      ///< when `number` was first heard
        moment last_heard{}; ///< when the last heartbeat came
        moment echoed{};     ///< when the heartbeat it answers was sent
        std::uint64_t sent_us = 0;
        bool leaving = false;
    };
    struct listing
    {
        std::string data_centre;
        bool leaving = false;

        bool operator==(const listing& other) const
        {
            return data_centre == other.data_centre && leaving == other.leaving;
        }
    };
    /// The result of `serving`, for as long as what it rests on stays.
    struct serving_cache
    {
        bool valid = false;
        moment at{};
        std::uint64_t own_number = 0;
        std::vector<member> members;
    };

    void read_list(moment now, outbox& out);
    void apply_list(moment now, moment sent, const proto::PlatformReply& reply);
    void send_heartbeats(moment now, const proto::Heartbeat& payload,
                         outbox& out);
    bool is_reachable(const std::string& vm, moment now) const;
    std::vector<member> listed() const;

    const identity& self_;
    membership_options options_;
    bool leaving_ = false;
    bool has_list_ = false;
    moment first_list_at_{};
    moment last_list_{};
    moment list_requested_at_{};
    moment next_list_{};
    moment next_heartbeat_{};
    moment last_change_{};
    mutable serving_cache serving_;
    std::map<std::string, listing> listed_;
    std::map<std::string, moment> dropped_at_;
    std::map<std::string, peer> peers_;
    std::map<std::uint64_t, std::string> vm_of_;
};

} // namespace tanagerhoist

#endif
