// Quality measures of whole nodes on a simulated clock, for the deployments of
// both users, each with its bound and, where there is one, a simpler baseline.
// Exits with 1 if a bound is missed.
#include "bench_fleet.hpp"
#include "bench_traffic.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iterator>
#include <string>
#include <vector>

namespace
{

using namespace tanagerhoist;
using namespace tanagerhoist::bench;
using standin::fleet;

// Required bounds, set independently of the measurements.
constexpr double gap_bound_ms = 2000;
constexpr double measurement_timeout_ms = 6000;
constexpr double wrongful_bound_percent = 0.1;
constexpr double worst_served_bound_percent = 99;
constexpr double wait_ratio_bound = 2;
constexpr double replica_bound_percent = 90;
constexpr double rollout_bound_ms = 2000;

constexpr microseconds service_time{4000};
constexpr milliseconds request_interval{10};
constexpr const char* failed_database = "two";

double to_double_ms(microseconds d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

std::string format_value(double value, const char* unit)
{
    char buffer[64];
    std::snprintf(buffer, sizeof buffer, "%.3g %s", value, unit);
    return buffer;
}

// ---- failover time --------------------------------------------------------

struct primary_fault
{
    const char* name;
    void (*inject)(fleet&, const std::string& primary);
};

void kill_primary(fleet& f, const std::string& primary)
{
    f.kill_server(primary);
}

void isolate(fleet& f, const std::string& primary)
{
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        f.cut(vm_name(i), primary);
    }
    f.group(failed_database).isolate(primary);
}

constexpr primary_fault primary_faults[] = {{"killed", kill_primary},
                                            {"isolated", isolate}};

/// Sends writes through each VM in turn until one is acknowledged.
/// @return time in ms from the fault to that acknowledgement at the caller, or
///   `measurement_timeout_ms`
double measure_gap(const deployment& user, const primary_fault& fault,
                   bool platform, milliseconds phase, const node_options& node)
{
    auto f = make_fleet(user, service_time, node);
    f->service().set_down(!platform);
    f->run_for(milliseconds(1000) + phase);
    fault.inject(*f, f->group(failed_database).servers().front());
    const moment lost = f->now();
    std::optional<moment> served;
    for (std::size_t i = 0;
         !served && to_double_ms(f->now() - lost) < measurement_timeout_ms; ++i)
    {
        proto::CallerRequest request;
        request.set_request_id("w" + std::to_string(i));
        request.set_route(std::string("write-") + failed_database);
        request.set_statement("PUT k x");
        f->request(f->connect(vm_name(i % vm_count)),
                   credential_of(user.workspaces[0]), request,
                   [&](const proto::CallerReply* reply)
                   {
                       if (reply != nullptr && reply->code() == 0 && !served)
                       {
                           served = f->now();
                       }
                   });
        f->run_for(request_interval);
    }
    f->run_for(milliseconds(6000));
    return served ? to_double_ms(*served - lost) : measurement_timeout_ms;
}

double worst_gap(const deployment& user, const primary_fault& fault,
                 bool platform, const node_options& node)
{
    double worst = 0;
    for (int phase = 0; phase < 200; phase += 29)
    {
        worst = std::max(worst, measure_gap(user, fault, platform,
                                            milliseconds(phase), node));
    }
    return worst;
}

bool report_failover(const deployment& user)
{
    bool met = true;
    for (const auto& fault : primary_faults)
    {
        for (const bool platform : {true, false})
        {
            const double gap = worst_gap(user, fault, platform, {});
            met &= report(user,
                          std::string("failover time, ") + fault.name +
                              (platform ? ", platform up" : ", platform down"),
                          gap, "-", "2000 ms", gap <= gap_bound_ms);
        }
    }
    return met;
}

// ---- wrongful rejections --------------------------------------------------

bool not_run(const sample& entry)
{
    return entry.reply &&
           info(static_cast<result_code>(entry.reply->code())).outcome ==
               outcome::not_run;
}

double percent(std::size_t part, std::size_t whole)
{
    return whole == 0
               ? 0
               : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

/// Percentage of admissible requests that equal static slices of rate and burst
/// would reject in the same run.
double rejected_by_static_slices(const deployment& user,
                                 std::vector<sample> samples)
{
    struct bucket
    {
        double tokens = 0;
        moment at{};
    };
    std::stable_sort(samples.begin(), samples.end(),
                     [](const sample& a, const sample& b)
                     { return a.arrived < b.arrived; });
    std::map<std::pair<std::size_t, std::size_t>, bucket> buckets;
    std::size_t within_limit = 0;
    std::size_t rejected = 0;
    for (const auto& entry : samples)
    {
        const auto& size = user.workspaces[entry.workspace];
        const double burst = static_cast<double>(size.burst()) / vm_count;
        const double rate = static_cast<double>(size.rate) / vm_count;
        auto [found, first] = buckets.try_emplace({entry.workspace, entry.vm});
        auto& b = found->second;
        const std::chrono::duration<double> passed = entry.arrived - b.at;
        b.tokens =
            first ? burst : std::min(burst, b.tokens + passed.count() * rate);
        b.at = entry.arrived;
        const bool admitted = b.tokens >= 1;
        b.tokens -= admitted ? 1 : 0;
        within_limit += entry.within_limit ? 1 : 0;
        rejected += entry.within_limit && !admitted ? 1 : 0;
    }
    return percent(rejected, within_limit);
}

void print_result_codes(const std::vector<sample>& samples)
{
    std::map<std::uint32_t, std::size_t> codes;
    for (const auto& entry : samples)
    {
        ++codes[entry.reply ? entry.reply->code() : 999];
    }
    for (const auto& [code, count] : codes)
    {
        std::printf("        code %u: %zu\n", code, count);
    }
}

bool report_rejections(const deployment& user,
                       const std::vector<sample>& samples)
{
    std::size_t within_limit = 0;
    std::size_t rejected = 0;
    for (const auto& entry : samples)
    {
        within_limit += entry.within_limit ? 1 : 0;
        rejected += entry.within_limit && not_run(entry) ? 1 : 0;
    }
    const double share = percent(rejected, within_limit);
    const auto slices =
        format_value(rejected_by_static_slices(user, samples), "% static");
    const bool met = report(user, "wrongful rejections, % of admissible", share,
                            slices, "0.1 %", share <= wrongful_bound_percent);
    std::printf("        %zu requests, %zu admissible, %zu wrongly rejected\n",
                samples.size(), within_limit, rejected);
    print_result_codes(samples);
    return met;
}

// ---- replica share --------------------------------------------------------

/// Percentage of reads served by replicas if sessions with an acknowledged
/// write read from the primary only.
double pinned_share(const std::vector<sample>& reads)
{
    const auto without_writes =
        std::count_if(reads.begin(), reads.end(),
                      [](const sample& entry) { return !entry.has_written; });
    return percent(static_cast<std::size_t>(without_writes), reads.size());
}

bool report_replicas(const deployment& user, const std::vector<sample>& samples)
{
    std::vector<sample> reads;
    std::copy_if(samples.begin(), samples.end(), std::back_inserter(reads),
                 [](const sample& entry)
                 {
                     return entry.kind != request_kind::write && entry.reply &&
                            entry.reply->code() == 0;
                 });
    std::size_t replicas = 0;
    std::size_t stale = 0;
    for (const auto& entry : reads)
    {
        const auto& server = entry.reply->served_by();
        const bool by_primary =
            server.substr(server.find('-') + 1) == user.data_centres.front();
        replicas += by_primary ? 0 : 1;
        stale += entry.stale ? 1 : 0;
    }
    const double share = percent(replicas, reads.size());
    const auto pinned = format_value(pinned_share(reads), "% pinned");
    bool met = report(user, "reads served by replicas, %", share, pinned,
                      "90 %", share >= replica_bound_percent);
    met &= report(user, "stale reads", static_cast<double>(stale), "-", "0",
                  stale == 0);
    return met;
}

// ---- worst-served workspace -----------------------------------------------

struct service_quality
{
    double served_percent = 100; ///< of admissible requests; lowest workspace
    std::vector<double> p99_ms;  ///< by workspace
};

double p99(std::vector<double> values)
{
    if (values.empty())
    {
        return 0;
    }
    std::sort(values.begin(), values.end());
    return values[values.size() * 99 / 100];
}

/// Service quality of all workspaces but `flooding_workspace`, with the time
/// from arrival to reply.
service_quality evaluate_service(const deployment& user,
                                 const std::vector<sample>& samples,
                                 std::size_t flooding_workspace)
{
    service_quality found;
    for (std::size_t w = 0; w < user.workspaces.size(); ++w)
    {
        std::size_t within_limit = 0;
        std::size_t served = 0;
        std::vector<double> waits;
        for (const auto& entry : samples)
        {
            if (entry.workspace != w || !entry.within_limit)
            {
                continue;
            }
            const bool ok = entry.reply && entry.reply->code() == 0;
            ++within_limit;
            served += ok ? 1 : 0;
            if (ok)
            {
                waits.push_back(to_double_ms(entry.answered - entry.arrived));
            }
        }
        if (w != flooding_workspace)
        {
            found.served_percent =
                std::min(found.served_percent, percent(served, within_limit));
        }
        found.p99_ms.push_back(w == flooding_workspace ? 0 : p99(waits));
    }
    return found;
}

service_quality measure_service(const deployment& user, bool flood,
                                queue_order_factory order)
{
    // Service time at which the two replicas would be at 75 % load if they
    // served all reads.
    double rate = 0;
    for (const auto& each : user.workspaces)
    {
        rate += static_cast<double>(each.rate);
    }
    const double per_server = rate * 0.8 / 2;
    const auto time = microseconds(static_cast<std::int64_t>(
        0.75 * static_cast<double>(user.slots) / per_server * 1e6));
    node_options node;
    node.flow.queue.order = order;
    auto f = make_fleet(user, time, node);
    traffic_options options;
    options.one_database = true;
    options.load = 0.8;
    options.burst_share = 0;
    if (flood)
    {
        options.flooding_workspace = 0;
    }
    traffic callers(*f, user, options);
    return evaluate_service(user, callers.run(), 0);
}

double worst_ratio(const service_quality& calm, const service_quality& flood)
{
    double worst = 0;
    for (std::size_t w = 1; w < calm.p99_ms.size(); ++w)
    {
        worst = std::max(worst, flood.p99_ms[w] / calm.p99_ms[w]);
    }
    return worst;
}

bool report_worst_served(const deployment& user)
{
    const auto calm = measure_service(user, false, make_weighted_fair_order);
    const auto flood = measure_service(user, true, make_weighted_fair_order);
    const auto fifo = measure_service(user, true, make_fifo_order);
    bool met = report(user, "worst served in a flood, % of admissible",
                      flood.served_percent,
                      format_value(fifo.served_percent, "% fifo"), "99 %",
                      flood.served_percent >= worst_served_bound_percent);
    const double ratio = worst_ratio(calm, flood);
    met &= report(user, "worst p99 time, with / without flood", ratio,
                  format_value(worst_ratio(calm, fifo), "fifo"), "2",
                  ratio <= wait_ratio_bound);
    std::printf("        p99 in ms by workspace, without and with flood:");
    for (std::size_t w = 1; w < calm.p99_ms.size(); ++w)
    {
        std::printf(" %.1f/%.1f", calm.p99_ms[w], flood.p99_ms[w]);
    }
    std::printf("\n");
    return met;
}

// ---- settings -------------------------------------------------------------

/// Withdraws a key while callers with that key are connected to every VM.
/// @return time in ms from the publication to the last successful reply, and
///   until the last VM has adopted the settings
std::pair<double, double> measure_withdrawal(const deployment& user,
                                             milliseconds phase)
{
    auto f = make_fleet(user, service_time);
    f->run_for(phase);
    std::map<std::size_t, std::uint64_t> callers;
    moment last_served{};
    const auto ask = [&](std::size_t i)
    {
        auto& caller = callers[i % vm_count];
        if (caller == 0 || !f->connected(caller))
        {
            caller = f->connect(vm_name(i % vm_count));
        }
        proto::CallerRequest request;
        request.set_request_id("r" + std::to_string(i));
        request.set_route("read-one");
        request.set_statement("GET k");
        f->request(caller, credential_of(user.workspaces[0]), request,
                   [&](const proto::CallerReply* reply)
                   {
                       if (reply != nullptr && reply->code() == 0)
                       {
                           last_served = f->now();
                       }
                   });
    };
    std::size_t asked = 0;
    for (; asked < 10 * vm_count; ++asked)
    {
        ask(asked);
        f->run_for(request_interval);
    }
    const bool before = last_served != moment();
    auto settings = make_settings(user);
    settings.mutable_key(0)->set_withdrawn("yes");
    const auto version =
        standin::publish(f->service(), f->now(), settings, 1, "withdraw");
    const moment published = f->now();
    moment adopted_at{};
    while (f->now() - published < milliseconds(8000))
    {
        ask(asked++);
        f->run_for(request_interval);
        bool everywhere = true;
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            everywhere &= f->settings_version(vm_name(i)) >= version;
        }
        if (everywhere && adopted_at == moment())
        {
            adopted_at = f->now();
        }
    }
    const double not_reached_ms = 8000;
    return {before ? to_double_ms(last_served - published) : not_reached_ms,
            adopted_at == moment() ? not_reached_ms
                                   : to_double_ms(adopted_at - published)};
}

bool report_settings(const deployment& user)
{
    double last_served_after = 0;
    double adopted_after = 0;
    for (int phase = 0; phase < 500; phase += 71)
    {
        const auto [last_served, adopted] =
            measure_withdrawal(user, milliseconds(phase));
        last_served_after = std::max(last_served_after, last_served);
        adopted_after = std::max(adopted_after, adopted);
    }
    bool met =
        report(user, "withdrawn key last served after, ms", last_served_after,
               "-", "2000 ms", last_served_after <= rollout_bound_ms);
    met &= report(user, "settings in force at 7 VMs after, ms", adopted_after,
                  "-", "2000 ms", adopted_after <= rollout_bound_ms);
    return met;
}

bool report_ordinary_load(const deployment& user)
{
    auto f = make_fleet(user, service_time);
    traffic callers(*f, user, {});
    const auto samples = callers.run();
    bool met = report_rejections(user, samples);
    met &= report_replicas(user, samples);
    return met;
}

} // namespace

int main()
{
    bool met = true;
    for (const auto& user : deployments())
    {
        met &= report_ordinary_load(user);
        met &= report_worst_served(user);
        met &= report_settings(user);
        met &= report_failover(user);
    }
    return met ? 0 : 1;
}
