#include "fleet_agent.hpp"

#include "platform/operator_config.hpp"
#include "tanagerhoist/adapter/bound_socket.hpp"
#include "tanagerhoist/adapter/fiber_await.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/fiber/fixedsize_stack.hpp>

#include <charconv>
#include <cstdlib>
#include <utility>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using asio::ip::udp;

// Longest wait of a watch call by the coordinator, which must notice a silent
// watch soon.
constexpr milliseconds config_wait{1000};
constexpr milliseconds server_wait{3000};

constexpr std::size_t stack_size = std::size_t{128} * 1024; // bytes

/// Converts a CPU share to percent; an absent share means a whole core.
std::uint64_t percent_of(const std::string& share)
{
    constexpr double whole = 100;
    return static_cast<std::uint64_t>(
        share.empty() ? whole : std::strtod(share.c_str(), nullptr) * whole);
}

/// Absent settings leave the configured rate as it is.
warmup_tolerance warmup_tolerance_of(const proto::SessionSettings& settings)
{
    warmup_tolerance tolerance;
    if (!settings.warmup_overage().empty())
    {
        tolerance.overage =
            std::strtod(settings.warmup_overage().c_str(), nullptr);
    }
    tolerance.slack = std::strtod(settings.warmup_slack().c_str(), nullptr);
    return tolerance;
}

} // namespace

endpoint_setting split_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    endpoint_setting where;
    where.address = text.substr(0, colon);
    std::from_chars(text.data() + colon + 1, text.data() + text.size(),
                    where.port); // can't fail: the settings were checked
    return where;
}

fleet_agent::fleet_agent(asio::io_context& context,
                         const proto::SessionDaemonSettings& settings,
                         std::uint64_t life, limit_tolerance tolerance,
                         proxy& decisions, structured_log& lines,
                         loop_monitor& monitor, clock now)
    : context_(context),
      settings_(settings),
      life_(life),
      cpu_percent_(percent_of(settings.sessions().cpu_share())),
      proxy_(decisions),
      lines_(lines),
      monitor_(monitor),
      now_(std::move(now)),
      store_(split_endpoint(settings.sessions().store())),
      promotion_address_(split_endpoint(settings.sessions().duty())),
      socket_(receive_on(
          context,
          udp::endpoint(
              asio::ip::make_address(
                  split_endpoint(settings.sessions().listen()).address),
              static_cast<std::uint16_t>(settings.sessions().peer_port())))),
      report_timer_(context),
      request_timer_(context),
      views_timer_(context),
      handover_timer_(context),
      config_watch_{platform::operator_table, config_wait,
                    [this](const auto& rows, watch_step step)
                    {
                        apply_evacuation_rows(rows, step.full);
                        apply_config_rows(rows);
                    },
                    make_store(), false},
      server_watch_{platform::server_table, server_wait,
                    [this](const auto& rows, watch_step step)
                    { handle_server_rows(rows, step.restored); },
                    make_store(), true},
      lease_store_(make_store()),
      removal_store_(make_store()),
      member_store_(make_store(platform::patient_write_timeout)),
      registration_(member_store_.rows, self_row(), now_),
      lease_(lease_store_.rows, self_row(), now_, lines),
      coordinator_(tolerance, settings.sessions().first_start() == "true",
                   warmup_tolerance_of(settings.sessions()),
                   settings.sessions().pace() == "true"),
      pool_(tolerance),
      handover_(decisions.limits())
{
}

store_link fleet_agent::make_store(milliseconds write_timeout) const
{
    return {{context_, store_.address, store_.port, write_timeout, now_}};
}

proto::MemberRow fleet_agent::self_row() const
{
    proto::MemberRow row;
    row.set_vm(settings_.vm().name());
    row.set_data_centre(settings_.vm().data_centre());
    row.set_address(split_endpoint(settings_.sessions().listen()).address);
    row.set_peer_port(settings_.sessions().peer_port());
    row.set_life(life_);
    row.set_cpu_percent(cpu_percent_);
    return row;
}

/// Pauses between the tries of a call to the store.
backoff fleet_agent::store_backoff()
{
    constexpr milliseconds first_pause{100};
    constexpr milliseconds longest_pause{800};
    return {first_pause, longest_pause};
}

void fleet_agent::run_fiber(std::function<void()> body)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                         boost::fibers::fixedsize_stack(stack_size),
                         std::move(body))
        .detach();
}

void fleet_agent::pause(milliseconds time)
{
    const auto due = now_() + time;
    asio::steady_timer timer(context_, time);
    await([&timer](auto handler) { timer.async_wait(std::move(handler)); });
    monitor_.fiber_runs(due);
}

microseconds fleet_agent::since_renewal() const
{
    return now_() -
           (is_coordinator() ? lease_renewal_begun_ : primary_renewal_begun_);
}

void fleet_agent::start()
{
    receive();
    run_fiber([this] { follow_table(config_watch_); });
    run_fiber([this] { follow_table(server_watch_); });
    run_fiber([this] { maintain_primary_lease(); });
    run_fiber([this] { maintain_coordinator_lease(); });
    run_fiber([this] { monitor_groups(); });
    report_regularly();
}

void fleet_agent::leave()
{
    leaving_ = true;
    proxy_.end_primary_lease();
    auto store = make_store();
    const auto removed = registration_.remove(store.rows);
    lines_.write(
        log_level::change, "left",
        {{"row_removed", removed == store_result::done ? "yes" : "no"}});
    release_lease();
}

} // namespace tanagerhoist
