#ifndef TANAGERHOIST_SESSION_WAIT_OUTLOOK_HPP
#define TANAGERHOIST_SESSION_WAIT_OUTLOOK_HPP

#include "tanagerhoist/session/waiting_order.hpp"

#include <array>
#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerhoist
{

/// Speed at which statements of one kind have been assigned lately, over the
/// time in which some of them waited.
class queue_progress
{
public:
    /// @param assigned statements assigned since the last call
    /// @param left statements that still wait
    void observe(moment now, std::size_t assigned, std::size_t left);

    /// The time until the next call does not count.
    void pause() { has_backlog_ = false; }

    /// Expected time until a statement is assigned that has `ahead` before it.
    /// @param observed shortest time of waiting that is believed
    /// @return nullopt if not enough has been observed
    std::optional<microseconds> wait(std::size_t ahead,
                                     microseconds observed) const;

    /// Whether nothing that was observed counts any more.
    bool is_settled() const;

private:
    moment last_{};
    bool has_backlog_ = false;
    double backlog_us_ = 0; ///< time with statements waiting, decayed
    double assigned_ = 0;   ///< decayed
};

/// A statement that will not be assigned before it expires.
struct unservable_statement
{
    session_id id = 0;
    /// Until those of its workspace that can meet their target are probably
    /// assigned, so that there may be room.
    microseconds clears{0};
};

/// Tells which waiting statements of one queue will not be served in time, so
/// that they can be refused while their clients have time for another try.
///
/// A workspace's statements are assigned in order of their targets, and late
/// ones last, at the speed that its share gives it. So each workspace is
/// observed by itself, and late statements apart from the others: while it asks
/// for more than it gets, its late ones make no progress.
class wait_outlook
{
public:
    /// Notes a round of assignments.
    /// @param answer_time within which servers answer most statements
    /// @param left in scheduling order
    /// @return those of `left` that will expire
    std::vector<unservable_statement>
    update(moment now, microseconds answer_time,
           const std::vector<queued_statement>& assigned,
           const std::vector<queued_statement>& left);

    /// Notes that no server takes statements at present, which tells nothing
    /// about the speed.
    void pause();

private:
    /// Statements of a workspace, or what is known of them: [0] those that can
    /// meet their target, [1] late ones.
    template <typename Value>
    using by_lateness = std::array<Value, 2>;

    struct flow
    {
        by_lateness<queue_progress> progress;
        by_lateness<std::size_t> assigned{};
        by_lateness<std::size_t> left{};
        by_lateness<std::size_t> ahead{};
    };

    void count(moment answered, const std::vector<queued_statement>& assigned,
               const std::vector<queued_statement>& left);
    void observe(moment now);
    static std::optional<microseconds>
    wait_of(const flow& known, const queued_statement& statement,
            moment answered, microseconds observed);

    std::unordered_map<std::string, flow> flows_; ///< by workspace
};

} // namespace tanagerhoist

#endif
