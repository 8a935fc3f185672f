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

/// How callers behave. All of it is fixed by the seed.
struct traffic_options
{
    microseconds run_time{20'000'000};
    double load = 0.6;        ///< of each workspace's rate, at random moments
    double burst_share = 0.5; ///< of the burst, sent to one VM at once
    milliseconds burst_interval{5000};
    milliseconds move_interval{2000}; ///< callers draw another VM
    double write_share = 0.2;
    std::optional<std::size_t> flooding_workspace; ///< workspace that ...
    double flood_factor = 5;   ///< ... sends this times its rate
    bool one_database = false; ///< else workspaces are spread
    std::uint64_t seed = 1;
};

enum class request_kind
{
    write,
    token_read, ///< of the session's own last write
    aged_read   ///< of what another session keeps writing
};

/// What became of one request.
struct sample
{
    std::size_t workspace = 0;
    std::size_t vm = 0;
    request_kind kind = request_kind::write;
    moment arrived{}; ///< at the VM
    moment answered{};
    std::optional<proto::CallerReply> reply;
    bool has_written = false; ///< the session has written something
    bool stale = false;       ///< less than its token or age demands
    bool within_limit =
        false; ///< a bucket over the whole fleet would let it in
};

/// Random requests of all workspaces over all VMs, and what became of them.
class traffic
{
public:
    traffic(standin::fleet& fleet, const deployment& user,
            traffic_options options);

    /// Runs to the end and waits for the last answers.
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
