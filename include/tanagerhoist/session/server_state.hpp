#ifndef TANAGERHOIST_SESSION_SERVER_STATE_HPP
#define TANAGERHOIST_SESSION_SERVER_STATE_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/answer_history.hpp"
#include "tanagerhoist/session/backend_server.hpp"
#include "tanagerhoist/session/log_position.hpp"
#include "tanagerhoist/session/repeat_watch.hpp"
#include "tanagerhoist/session/server_evidence.hpp"

#include <algorithm>
#include <optional>

namespace tanagerhoist
{

/// Bounds of the exponential backoff after a failure, and after a refusal
/// because the replica lags.
constexpr milliseconds first_retry{150};
constexpr milliseconds longest_retry{1000};
constexpr milliseconds first_lag_pause{100};
constexpr milliseconds longest_lag_pause{600};

/// What the coordinator told of a server that is slow or failing.
struct server_deviation
{
    double failing_share = 0; ///< of the statements there
    double slowness = 1;      ///< multiple of the usual answer times
    double share = 1;         ///< of its usual work that it gets
    moment told{};
};

/// This VM's observations of one backend server.
class server_state
{
public:
    /// @param s its entry, read at `now`
    server_state(moment now, backend_server s) : server(std::move(s))
    {
        note_warmup(now, server);
    }

    backend_server server;
    unsigned connections = 0; ///< opening or open
    unsigned opening = 0;
    unsigned running = 0; ///< statements of this VM at the server
    moment draining_since{};
    server_evidence evidence; ///< outcomes at this VM
    std::optional<server_deviation> deviation;
    repeat_watch repeated; ///< answers

    recurring_rows recurring; ///< of different statements
    bool writes_have_rows = false;

    /// Takes over a newer entry of the server. After a failure, one of the same
    /// process may have been written before the failure and proves nothing.
    void update(moment now, const backend_server& entry)
    {
        const bool restarted = entry.born_ms != server.born_ms;
        const bool changed = entry.warmup_left != server.warmup_left;
        if (restarted || (changed && !has_recovered_))
        {
            note_warmup(now, entry);
        }
        server = entry;
    }

    /// Whether the server may still be in its warm-up. After a failure it may
    /// be a new process, whose entry has not arrived yet.
    /// @param length of a warm-up
    bool is_warming(moment now, milliseconds length) const
    {
        return now < warm_at_.value_or(may_have_started_ + length);
    }

    /// Notes an answer or a successful connect; resets the backoff.
    void mark_reachable(moment now)
    {
        if (failing_)
        {
            has_recovered_ = true;
            may_have_started_ = now;
            warm_at_.reset();
        }
        last_contact_ = now;
        failing_ = false;
        retry_pause_ = first_retry;
    }

    /// Notes a failed connection or an unanswered statement.
    void mark_failing(moment now)
    {
        if (!failing_)
        {
            failing_ = true;
            failing_since_ = now;
        }
        retry_at_ = now + retry_pause_;
        retry_pause_ = std::min(retry_pause_ * 2, longest_retry);
    }

    bool is_failing() const { return failing_; }
    moment failing_since() const { return failing_since_; }
    moment last_contact() const { return last_contact_; }
    bool may_try(moment now) const { return !failing_ || now >= retry_at_; }

    /// Notes where the server's log ends.
    void update_position(const log_position& position) { position_ = position; }

    /// Notes that the server refused a read because its log lacks the required
    /// position.
    /// @param position end of its log; nullopt if it was not reported
    void mark_lagging(moment now, const std::optional<log_position>& position)
    {
        position_ = position.value_or(log_position{});
        lag_until_ = now + lag_pause_;
        lag_pause_ = std::min(lag_pause_ * 2, longest_lag_pause);
    }

    void reset_lag_pause() { lag_pause_ = first_lag_pause; }

    /// Whether a read that requires `after` would probably be refused.
    bool likely_lacks(moment now, const log_position& after) const
    {
        return now < lag_until_ && position_ < after;
    }

    /// Notes that the server was at capacity; it gets no new work for a short
    /// while.
    void mark_full(moment now) { full_until_ = now + first_retry / 3; }
    bool is_full(moment now) const { return now < full_until_; }

    /// Notes that the server refused a further connection.
    void mark_connection_refused(moment now)
    {
        no_connection_until_ = now + first_retry;
    }
    bool takes_connections(moment now) const
    {
        return now >= no_connection_until_;
    }

    /// Updates the exponentially weighted response time.
    void add_response_time(moment now, microseconds took)
    {
        constexpr double weight = 0.2;
        response_us_ +=
            weight * (static_cast<double>(took.count()) - response_us_);
        measured_at_ = now;
    }

    /// Smoothed response time in microseconds. More than 1 s after the last
    /// measurement it decays towards a default.
    double response_us(moment now) const
    {
        constexpr double usual_us = 25000;
        const double idle =
            std::chrono::duration<double>(now - measured_at_).count();
        return idle > 1.0 ? usual_us + (response_us_ - usual_us) / (1.0 + idle)
                          : response_us_;
    }

private:
    /// Counts the rest of a warm-up from the arrival of the entry, which is
    /// later than its writing.
    void note_warmup(moment now, const backend_server& entry)
    {
        has_recovered_ = false;
        may_have_started_ = now;
        warm_at_ = entry.warmup_left
                       ? std::optional<moment>(now + *entry.warmup_left)
                       : std::nullopt;
    }

    bool has_recovered_ = false; ///< since the entry of this process
    moment may_have_started_{};
    std::optional<moment> warm_at_; ///< by the server's entry
    bool failing_ = false;
    moment failing_since_{};
    moment last_contact_{};
    moment retry_at_{};
    milliseconds retry_pause_ = first_retry;
    log_position position_;
    moment lag_until_{};
    milliseconds lag_pause_ = first_lag_pause;
    moment full_until_{};
    moment no_connection_until_{};
    double response_us_ = 25000;
    moment measured_at_{};
};

} // namespace tanagerhoist

#endif
