#include "fleet_agent.hpp"

#include "tanagerhoist/session/coordinator_times.hpp"

#include <algorithm>
#include <utility>

// Reports and requests to the coordinator.
namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

} // namespace

void fleet_agent::send_report()
{
    const loop_monitor::measurement measured(monitor_, loop_work::report_sent);
    pacing_.message_sent(now_());
    proto::FleetDatagram datagram;
    auto& report = *datagram.mutable_report();
    report.set_vm(settings_.vm().name());
    report.set_life(life_);
    report.set_sequence(messages_.record_report(now_()));
    report.set_view(messages_.newest_view());
    report.set_token(messages_.token());
    report.set_settings_version(config_version_);
    report.set_servers_version(server_watch_.rows.version());
    for (const auto& [group, row] : leads_.rows())
    {
        const auto told = told_epochs_.find(group);
        if (told == told_epochs_.end() || told->second < row.lead.epoch())
        {
            *report.add_leads() = row.lead;
        }
    }
    proxy_.describe(now_(), report);
    if (const auto current = term())
    {
        coordinator_.apply_report(now_(), report);
        send_view(*current, settings_.vm().name());
        return;
    }
    if (may_grant())
    {
        grant_after_term(report);
        return;
    }
    const auto& row = lease_.row();
    auto where = coordinator_endpoint_;
    if (!row.holder().empty() && row.token() > messages_.token())
    {
        error_code error;
        const auto ip = asio::ip::make_address(row.address(), error);
        if (!error)
        {
            where = {ip, static_cast<std::uint16_t>(row.peer_port())};
        }
    }
    if (where.port() != 0)
    {
        const auto bytes = datagram.SerializeAsString();
        error_code ignored; // the next report replaces a lost one
        socket_.send_to(asio::buffer(bytes), where, 0, ignored);
    }
}

void fleet_agent::report_soon()
{
    schedule_report(milliseconds(0));
}

void fleet_agent::schedule_report(milliseconds wait)
{
    report_at_ = now_() + wait;
    report_timer_.expires_after(wait);
    report_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                monitor_.timer_runs(report_at_);
                report_regularly();
            }
        });
}

void fleet_agent::report_regularly()
{
    apply_held_servers();
    end_lapsed_evacuations();
    send_report();
    schedule_handover();
    schedule_report(proxy_.is_sealed_primary_in_use() ? sealed_report_interval
                                                      : report_interval);
}

/// Requests the operations that queued statements need.
void fleet_agent::request_grants()
{
    const loop_monitor::measurement measured(monitor_, loop_work::request_sent);
    pacing_.message_sent(now_());
    proto::FleetDatagram datagram;
    auto& request = *datagram.mutable_request();
    for (auto& demand : proxy_.limits().missing(now_()))
    {
        *request.add_demand() = std::move(demand);
    }
    if (request.demand_size() == 0)
    {
        return;
    }
    pacing_.request_sent();
    request.set_vm(settings_.vm().name());
    request.set_life(life_);
    request.set_sequence(messages_.next_sequence());
    request.set_token(messages_.token());
    if (may_grant())
    {
        handle_grant_request(request);
    }
    else if (coordinator_endpoint_.port() != 0)
    {
        const auto bytes = datagram.SerializeAsString();
        error_code ignored; // repeated if not answered
        socket_.send_to(asio::buffer(bytes), coordinator_endpoint_, 0, ignored);
    }
}

/// Requests grants as soon as the pacing allows. Called whenever statements
/// wait for one, and after each answer: statements that came while a request
/// was on its way need another one.
void fleet_agent::request_grants_if_needed()
{
    hand_over_if_due();
    if (!proxy_.limits().needs_grant(now_()))
    {
        return;
    }
    const auto at = pacing_.next_request();
    if (request_at_ && *request_at_ <= at)
    {
        return; // the timer is set
    }
    request_at_ = at;
    request_timer_.expires_after(std::max(microseconds(0), at - now_()));
    request_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                request_at_.reset();
                request_grants();
            }
        });
}

} // namespace tanagerhoist
