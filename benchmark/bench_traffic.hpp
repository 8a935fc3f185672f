#ifndef TANAGERHOIST_BENCH_TRAFFIC_HPP
#define TANAGERHOIST_BENCH_TRAFFIC_HPP

#include "bench_fleet.hpp"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace tanagerhoist::bench
{

/// Behaviour of the simulated callers. The seed determines all random choices.
struct traffic_options
{
    microseconds run_time{20'000'000};
    double load = 0.6; ///< share of each workspace's rate; arrivals are Poisson
    /// Share of the burst size, sent to one VM at once.
    double burst_share = 0.5;
    milliseconds burst_interval{5000};
    milliseconds move_interval{2000}; ///< until callers choose another VM
    double write_share = 0.2;
    std::optional<std::size_t> flooding_workspace; ///< sends `flood_factor`
    double flood_factor = 5;                       ///< times its rate
    bool one_database = false; ///< else they are spread over all
    std::uint64_t seed = 1;
};

enum class request_kind
{
    write,
    token_read, ///< of the session's own last write
    aged_read   ///< of the clock row, which is written all the time
};

/// A request and its outcome.
struct sample
{
    std::size_t workspace = 0;
    std::size_t vm = 0;
    request_kind kind = request_kind::write;
    moment arrived{}; ///< at the VM
    moment answered{};
    std::optional<proto::CallerReply> reply;
    bool has_written = false;  ///< the session has an acknowledged write
    bool stale = false;        ///< older than its token or tolerated age allows
    bool within_limit = false; ///< an exact fleet-wide bucket admits it
};

/// Sends random requests of all workspaces through all VMs and records their
/// outcome.
class traffic
{
public:
    traffic(standin::fleet& fleet, const deployment& user,
            traffic_options options);

    /// Runs for `run_time` and waits for the last replies.
    std::vector<sample> run();

private:
    struct session
    {
        std::size_t workspace = 0;
        std::size_t vm = 0;
        std::uint64_t caller = 0;
        proto::SessionToken token;
        std::string last_key; ///< of its last acknowledged write
    };
    struct clock_write
    {
        std::uint64_t value = 0;
        moment acknowledged{};
    };

    void generate_request(std::size_t workspace);
    void burst(std::size_t workspace);
    void move();
    void write_clock();
    void send(session& from, request_kind kind);
    void on_reply(session& from, std::size_t number, const std::string& key,
                  const proto::CallerReply* reply);
    bool exceeds_age_limit(const sample& entry) const;
    void mark_within_limit();
    std::string database_of(std::size_t workspace) const;
    std::size_t draw_vm(std::size_t workspace);
    double uniform();

    standin::fleet& fleet_;
    const deployment& user_;
    traffic_options options_;
    std::mt19937_64 random_;
    moment end_;
    std::vector<session> sessions_;
    std::map<std::string, std::vector<clock_write>> clocks_; ///< by database
    std::vector<sample> samples_;
};

} // namespace tanagerhoist::bench

#endif
