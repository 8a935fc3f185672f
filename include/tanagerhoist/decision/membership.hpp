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

/// One VM of the fleet.
struct member
{
    std::string vm;
    std::string data_centre;
    std::uint64_t number = 0; ///< incarnation; 0: no heartbeat received yet
    bool leaving = false;
};

/// Intervals of `membership`. `reclaim_wait` must exceed `max_confirmation_age`
/// by more than two clocks can drift apart over that time.
struct membership_options
{
    milliseconds heartbeat_interval{250};
    milliseconds heartbeat_timeout{1000};
    milliseconds list_interval{1000};
    milliseconds call_timeout{1000};
    /// Maximum age of a list that is used to decide that a VM is absent.
    milliseconds max_list_age{3000};
    /// Maximum age of the evidence that this incarnation is still a member.
    milliseconds max_confirmation_age{3000};
    /// Time from a VM's removal from the list until what it holds may be
    /// reclaimed.
    milliseconds reclaim_wait{5000};
};

/// Fleet membership: the platform's list of VMs combined with heartbeats.
///
/// The list decides which VMs are members; heartbeats decide which of them are
/// reachable. A VM that is listed but sends no heartbeats isn't serving, but
/// keeps what it holds. A VM that is removed from the list, or an incarnation
/// that is replaced by a newer one of the same VM, is gone after
/// `reclaim_wait`.
///
/// A heartbeat echoes the send time of the last heartbeat received from its
/// receiver, so that a delayed heartbeat proves nothing newer than the one that
/// it echoes. `confirmed` relies on this: it becomes false before any peer may
/// consider this incarnation gone.
class membership
{
public:
    /// @param self read at each use, since its number is allocated later
    membership(const identity& self, membership_options options);

    /// Sends heartbeats with the contents of `payload`, and reads the
    /// platform's list, each at its interval.
    void on_tick(moment now, const proto::Heartbeat& payload, outbox& out);

    /// Whether the next `on_tick` at `now` sends heartbeats.
    bool heartbeat_due(moment now) const { return now >= next_heartbeat_; }

    void on_heartbeat(moment now, const proto::Incarnation& from,
                      const proto::Heartbeat& heartbeat);

    /// Announces in the following heartbeats that this VM takes no new work.
    void start_leaving();

    /// VMs that are listed, reachable and not leaving, including this one, in
    /// ascending order of name. The reference is valid until the next call.
    const std::vector<member>& serving(moment now) const;

    /// Number of VMs in the platform's list.
    std::size_t listed_count() const { return listed_.size(); }

    /// Time when the list or a VM's incarnation last changed, or when the list
    /// was read again after it had exceeded its maximum age; moment zero if
    /// never.
    moment last_change() const { return last_change_; }

    /// Whether a majority of the listed VMs, including this one, is reachable.
    bool majority_heard(moment now) const;

    /// Whether this VM is one of the few per data centre that poll the
    /// platform on behalf of the others.
    bool polls_platform(moment now) const;

    /// Whether incarnation `number` of `vm` lost its membership at least
    /// `reclaim_wait` ago, so that its own `confirmed` must be false.
    bool gone(const std::string& vm, std::uint64_t number, moment now) const;

    /// As above, for an incarnation that this process has received a heartbeat
    /// from; false for any other.
    bool gone(std::uint64_t number, moment now) const;

    /// Whether `who` is listed and is the latest known incarnation of its VM.
    bool current(const proto::Incarnation& who) const;

    /// Whether no peer can consider this incarnation gone yet: the platform, or
    /// a majority of the listed VMs, has answered a call or heartbeat that was
    /// sent no longer than `max_confirmation_age` ago.
    bool confirmed(moment now) const;

    /// Whether `vm` is listed, or was removed less than `reclaim_wait` ago.
    bool recently_listed(const std::string& vm, moment now) const;

    /// VMs that are listed, or were removed less than `reclaim_wait` ago.
    std::vector<std::string> recently_listed(moment now) const;

    /// Time when the platform's list was last received; moment zero if never.
    moment last_list() const { return last_list_; }

private:
    struct peer
    {
        std::uint64_t number = 0;
        moment since{};      ///< first heartbeat of `number`
        moment last_heard{}; ///< last heartbeat received
        moment echoed{};     ///< latest own send time echoed
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
    /// Cached result of `serving`; invalidated when an input of it changes.
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
