// The measures of both users over whole nodes on an injected clock, each
// beside a simpler baseline and its bound. Exits with 1 if a bound is missed.
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

// Targets; none follows from what was measured.
constexpr double gap_bound_ms = 2000;
constexpr double outer_limit_ms = 6000;
constexpr double wrongful_bound_percent = 0.1;
constexpr double worst_served_bound_percent = 99;
constexpr double wait_ratio_bound = 2;
constexpr double replica_bound_percent = 90;
constexpr double in_force_bound_ms = 2000;

constexpr microseconds service_time{4000};
constexpr milliseconds request_pace{10};
constexpr const char* struck_database = "two";

double to_double_ms(microseconds d)
{
    return std::chrono::duration<double, std::milli>(d).count();
}

std::string text(double value, const char* unit)
{
    char buffer[64];
    std::snprintf(buffer, sizeof buffer, "%.3g %s", value, unit);
    return buffer;
}

// ---- failover gap ---------------------------------------------------------

struct loss
{
    const char* name;
    void (*strike)(fleet&, const std::string& primary);
};

void die(fleet& f, const std::string& primary)
{
    f.kill_server(primary);
}

void isolate(fleet& f, const std::string& primary)
{
    for (std::size_t i = 0; i < vm_count; ++i)
    {
        f.cut(vm_name(i), primary);
    }
    f.group(struck_database).isolate(primary);
}

constexpr loss losses[] = {{"killed", die}, {"isolated", isolate}};

/// Sends a write by each VM in turn until one is acknowledged.
/// @return time from the loss to that acknowledgement, as the caller sees it
double measure_gap(const deployment& user, const loss& how, bool platform,
                   milliseconds phase, const node_options& node)
{
    auto f = make_fleet(user, service_time, node);
    f->service().set_down(!platform);
    f->run_for(milliseconds(1000) + phase);
    how.strike(*f, f->group(struck_database).servers().front());
    const moment lost = f->now();
    std::optional<moment> served;
    for (std::size_t i = 0;
         !served && to_double_ms(f->now() - lost) < outer_limit_ms; ++i)
    {
        proto::CallerRequest request;
        request.set_request_id("w" + std::to_string(i));
        request.set_route(std::string("write-") + struck_database);
        request.set_statement("PUT k x");
        f->request(f->connect(vm_name(i % vm_count)),
                   key_of(user.workspaces[0]), request,
                   [&](const proto::CallerReply* reply)
                   {
                       if (reply != nullptr && reply->code() == 0 && !served)
                       {
                           served = f->now();
                       }
                   });
        f->run_for(request_pace);
    }
    f->run_for(milliseconds(6000));
    return served ? to_double_ms(*served - lost) : outer_limit_ms;
}

double worst_gap(const deployment& user, const loss& how, bool platform,
                 const node_options& node)
{
    double worst = 0;
    for (int phase = 0; phase < 200; phase += 29)
    {
        worst = std::max(
            worst, measure_gap(user, how, platform, milliseconds(phase), node));
    }
    return worst;
}

bool report_failover(const deployment& user)
{
    bool met = true;
    for (const auto& how : losses)
    {
        for (const bool platform : {true, false})
        {
            const double gap = worst_gap(user, how, platform, {});
            met &= report(user,
                          std::string("failover gap, ") + how.name +
                              (platform ? ", platform up" : ", platform down"),
                          gap, "-", "2000 ms", gap <= gap_bound_ms);
        }
    }
    return met;
}

// ---- wrongful refusals ----------------------------------------------------

bool not_run(const sample& of)
{
    return of.reply &&
           info(static_cast<result_code>(of.reply->code())).outcome ==
               outcome::not_run;
}

double percent(std::size_t part, std::size_t whole)
{
    return whole == 0
               ? 0
               : 100 * static_cast<double>(part) / static_cast<double>(whole);
}

/// Share refused by equal static slices of rate and burst, in the same run.
double refused_by_static_slices(const deployment& user,
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
    std::size_t inside = 0;
    std::size_t refused = 0;
    for (const auto& of : samples)
    {
        const auto& size = user.workspaces[of.workspace];
        const double burst = static_cast<double>(size.burst()) / vm_count;
        const double rate = static_cast<double>(size.rate) / vm_count;
        auto [found, first] = buckets.try_emplace({of.workspace, of.vm});
        auto& b = found->second;
        const std::chrono::duration<double> passed = of.arrived - b.at;
        b.tokens =
            first ? burst : std::min(burst, b.tokens + passed.count() * rate);
        b.at = of.arrived;
        const bool admitted = b.tokens >= 1;
        b.tokens -= admitted ? 1 : 0;
        inside += of.inside ? 1 : 0;
        refused += of.inside && !admitted ? 1 : 0;
    }
    return percent(refused, inside);
}

void print_refusals(const std::vector<sample>& samples)
{
    std::map<std::uint32_t, std::size_t> codes;
    for (const auto& of : samples)
    {
        ++codes[of.reply ? of.reply->code() : 999];
    }
    for (const auto& [code, count] : codes)
    {
        std::printf("        code %u: %zu\n", code, count);
    }
}

bool report_refusals(const deployment& user, const std::vector<sample>& samples)
{
    std::size_t inside = 0;
    std::size_t refused = 0;
    for (const auto& of : samples)
    {
        inside += of.inside ? 1 : 0;
        refused += of.inside && not_run(of) ? 1 : 0;
    }
    const double share = percent(refused, inside);
    const auto slices =
        text(refused_by_static_slices(user, samples), "% static");
    const bool met = report(user, "wrongful refusals, % of those inside", share,
                            slices, "0.1 %", share <= wrongful_bound_percent);
    std::printf("        %zu requests, %zu inside, %zu wrongly refused\n",
                samples.size(), inside, refused);
    print_refusals(samples);
    return met;
}

// ---- replica share --------------------------------------------------------

/// Share of reads served by replicas, if sessions that have written read from
/// the primary only.
double pinned_share(const std::vector<sample>& reads)
{
    const auto unbound = std::count_if(
        reads.begin(), reads.end(), [](const sample& of) { return !of.bound; });
    return percent(static_cast<std::size_t>(unbound), reads.size());
}

bool report_replicas(const deployment& user, const std::vector<sample>& samples)
{
    std::vector<sample> reads;
    std::copy_if(samples.begin(), samples.end(), std::back_inserter(reads),
                 [](const sample& of)
                 {
                     return of.kind != request_kind::write && of.reply &&
                            of.reply->code() == 0;
                 });
    std::size_t replicas = 0;
    std::size_t stale = 0;
    for (const auto& of : reads)
    {
        const auto& server = of.reply->served_by();
        const bool first_place =
            server.substr(server.find('-') + 1) == user.data_centres.front();
        replicas += first_place ? 0 : 1;
        stale += of.stale ? 1 : 0;
    }
    const double share = percent(replicas, reads.size());
    const auto pinned = text(pinned_share(reads), "% pinned");
    bool met = report(user, "reads served by replicas, %", share, pinned,
                      "90 %", share >= replica_bound_percent);
    met &= report(user, "stale reads", static_cast<double>(stale), "-", "0",
                  stale == 0);
    return met;
}

// ---- worst-served workspace -----------------------------------------------

struct service
{
    double served_percent = 100; ///< of what is inside the rate; the worst
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

/// How all but `flooding` fare. The wait is the time beyond the shortest.
service service_of(const deployment& user, const std::vector<sample>& samples,
                   std::size_t flooding)
{
    service found;
    for (std::size_t w = 0; w < user.workspaces.size(); ++w)
    {
        std::size_t inside = 0;
        std::size_t served = 0;
        std::vector<double> waits;
        for (const auto& of : samples)
        {
            if (of.workspace != w || !of.inside)
            {
                continue;
            }
            const bool ok = of.reply && of.reply->code() == 0;
            ++inside;
            served += ok ? 1 : 0;
            if (ok)
            {
                waits.push_back(to_double_ms(of.answered - of.arrived));
            }
        }
        if (w != flooding)
        {
            found.served_percent =
                std::min(found.served_percent, percent(served, inside));
        }
        found.p99_ms.push_back(w == flooding ? 0 : p99(waits));
    }
    return found;
}

service measure_service(const deployment& user, bool flood,
                        queue_order_factory order)
{
    // A load of three quarters on the replicas, were they to serve all reads.
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
        options.flooding = 0;
    }
    traffic callers(*f, user, options);
    return service_of(user, callers.run(), 0);
}

double worst_ratio(const service& calm, const service& flood)
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
    bool met =
        report(user, "worst served in a flood, % of asked inside rate",
               flood.served_percent, text(fifo.served_percent, "% fifo"),
               "99 %", flood.served_percent >= worst_served_bound_percent);
    const double ratio = worst_ratio(calm, flood);
    met &= report(user, "worst p99 time in a flood / without", ratio,
                  text(worst_ratio(calm, fifo), "fifo"), "2",
                  ratio <= wait_ratio_bound);
    std::printf("        p99 in ms by workspace, calm and flood:");
    for (std::size_t w = 1; w < calm.p99_ms.size(); ++w)
    {
        std::printf(" %.1f/%.1f", calm.p99_ms[w], flood.p99_ms[w]);
    }
    std::printf("\n");
    return met;
}

// ---- settings -------------------------------------------------------------

/// Withdraws a key while its callers are connected to every VM.
/// @return from the publish to the last answer that served it, and to the
///   moment when the last VM had adopted the settings
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
        f->request(caller, key_of(user.workspaces[0]), request,
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
        f->run_for(request_pace);
    }
    const bool before = last_served != moment();
    auto settings = settings_of(user);
    settings.mutable_key(0)->set_withdrawn("yes");
    const auto version =
        standin::publish(f->service(), f->now(), settings, 1, "withdraw");
    const moment published = f->now();
    moment in_force{};
    while (f->now() - published < milliseconds(8000))
    {
        ask(asked++);
        f->run_for(request_pace);
        bool everywhere = true;
        for (std::size_t i = 0; i < vm_count; ++i)
        {
            everywhere &= f->settings_version(vm_name(i)) >= version;
        }
        if (everywhere && in_force == moment())
        {
            in_force = f->now();
        }
    }
    const double never = 8000;
    return {before ? to_double_ms(last_served - published) : never,
            in_force == moment() ? never : to_double_ms(in_force - published)};
}

bool report_settings(const deployment& user)
{
    double refused = 0;
    double in_force = 0;
    for (int phase = 0; phase < 500; phase += 71)
    {
        const auto [last_served, adopted] =
            measure_withdrawal(user, milliseconds(phase));
        refused = std::max(refused, last_served);
        in_force = std::max(in_force, adopted);
    }
    bool met = report(user, "withdrawn key last served after, ms", refused, "-",
                      "2000 ms", refused <= in_force_bound_ms);
    met &= report(user, "settings in force at 7 VMs after, ms", in_force, "-",
                  "2000 ms", in_force <= in_force_bound_ms);
    return met;
}

bool report_ordinary_load(const deployment& user)
{
    auto f = make_fleet(user, service_time);
    traffic callers(*f, user, {});
    const auto samples = callers.run();
    bool met = report_refusals(user, samples);
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
