#include "fleet_agent.hpp"

// Datagrams received from other VMs, and views sent by the coordinator.
namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

/// Time over which the VMs spread their first reports to a new coordinator.
constexpr milliseconds first_report_spread{100};

/// Shortest time between two rounds of views to all VMs.
constexpr milliseconds view_batch_interval{20};

} // namespace

void fleet_agent::receive()
{
    socket_.async_receive_from(asio::buffer(datagram_), sender_,
                               [this](error_code error, std::size_t size)
                               {
                                   if (error == asio::error::operation_aborted)
                                   {
                                       return;
                                   }
                                   if (!error)
                                   {
                                       handle_datagram(size);
                                   }
                                   receive();
                               });
}

void fleet_agent::handle_datagram(std::size_t size)
{
    proto::FleetDatagram datagram;
    if (!datagram.ParseFromArray(datagram_.data(), static_cast<int>(size)))
    {
        return; // not from a peer
    }
    const auto current = term();
    if (datagram.has_report() && current)
    {
        handle_report(*current, datagram.report());
    }
    else if (datagram.has_report())
    {
        grant_after_term(datagram.report());
    }
    else if (datagram.has_request())
    {
        const loop_monitor::measurement measured(monitor_,
                                                 loop_work::grant_request);
        handle_grant_request(datagram.request());
    }
    else if (datagram.has_reply())
    {
        const loop_monitor::measurement measured(monitor_,
                                                 loop_work::grant_reply);
        handle_grant_reply(datagram.reply());
    }
    else if (datagram.has_handover())
    {
        const loop_monitor::measurement measured(monitor_,
                                                 loop_work::grant_request);
        handle_handover(datagram.handover());
    }
    else if (datagram.has_handover_reply())
    {
        const loop_monitor::measurement measured(monitor_,
                                                 loop_work::grant_reply);
        handle_handover_reply(datagram.handover_reply());
    }
    else if (datagram.has_view())
    {
        if (messages_.is_outdated(datagram.view().token()))
        {
            return; // from a previous coordinator that has not noticed its loss
        }
        coordinator_.grantor().note_token(datagram.view().token());
        tell_former_coordinator(datagram.view().token());
        coordinator_endpoint_ = sender_;
        const loop_monitor::measurement measured(monitor_, loop_work::view);
        handle_view(datagram.view());
    }
}

void fleet_agent::handle_report(const coordinator_term& term,
                                const proto::VmReport& report)
{
    {
        const loop_monitor::measurement measured(monitor_, loop_work::report);
        peers_[report.vm()] = sender_;
        coordinator_.apply_report(now_(), report);
        told_leads_.acknowledged(report.vm(), report.life(),
                                 report.token() == term.token ? report.view()
                                                              : 0);
        use_reported_leads(report);
    }
    send_view(term, report.vm());
}

void fleet_agent::handle_grant_reply(const proto::GrantReply& reply)
{
    pacing_.answered();
    if (messages_.accept_grants(reply.token(), reply.sequence()))
    {
        proxy_.use_grants(now_(), reply.grants(), !reply.after_term());
    }
    request_grants_if_needed();
}

void fleet_agent::handle_view(const proto::FleetView& view)
{
    const auto now = now_();
    const bool new_coordinator = messages_.is_new_coordinator(view.token());
    if (!messages_.accept_view(now, view.token(), view.sequence()))
    {
        return; // duplicate or out of date
    }
    if (new_coordinator)
    {
        told_epochs_.clear();
    }
    use_evacuations(view);
    use_deputies(view);
    const bool changed = use_leads(view);
    if (view.members() != 0)
    {
        proxy_.use_members(now, view.members());
    }
    proxy_.use_coordinator_contact(now);
    for (const auto& wait : view.seal_waits())
    {
        proxy_.use_seal_wait(now, wait);
    }
    proxy_.use_grants(now, view.grants());
    // The view was created after the report that it answers was sent, so its
    // positions are at least as recent as that report.
    const auto answered = messages_.report_sent_at(view.report());
    for (const auto& sample : view.positions())
    {
        if (answered)
        {
            proxy_.use_position(*answered, sample);
        }
    }
    if (answered)
    {
        use_warmup_permits(view, *answered);
    }
    if (new_coordinator)
    {
        pacing_.answered(); // it knows of no request
        proxy_.use_new_coordinator();
        schedule_report(milliseconds(life_ % first_report_spread.count()));
    }
    else if (changed)
    {
        report_soon();
    }
    if (view.holder() != settings_.vm().name())
    {
        refresh_outdated_tables(view);
    }
}

/// Permits that were granted to an earlier process of this VM are not used: the
/// report that they count from is not known.
void fleet_agent::use_warmup_permits(const proto::FleetView& view,
                                     moment reported)
{
    warmup_permits::permits given;
    for (const auto& permit : view.warmup_permits())
    {
        if (permit.life() == life_)
        {
            *given.Add() = permit;
        }
    }
    proxy_.use_warmup_permits(now_(), reported + permit_lifetime, given);
}

proto::FleetView fleet_agent::view_for(const coordinator_term& term,
                                       const std::string& vm)
{
    proto::FleetView view;
    view.set_holder(settings_.vm().name());
    view.set_token(term.token);
    view.set_sequence(++view_sequence_);
    view.set_settings_version(config_version_);
    view.set_servers_version(server_watch_.rows.newest_seen_version());
    add_server_changes(vm, view);
    add_evacuations(view);
    add_deputies(term, view);
    view.set_members(members_.rows.size());
    add_lead_changes(vm, view);
    add_settings_source(vm, view);
    const auto* settings = proxy_.settings();
    if (settings != nullptr && may_grant() &&
        coordinator_.grantor().token() == term.token)
    {
        coordinator_.grantor().grant(now_(), *settings, vm,
                                     *view.mutable_grants());
    }
    if (settings != nullptr)
    {
        coordinator_.add_warmup_permits(now_(), *settings, servers_, vm, view);
    }
    coordinator_.add_positions(now_(), view);
    coordinator_.add_seal_waits(now_(), view);
    view.set_report(coordinator_.record_view(now_(), vm, view.sequence()));
    return view;
}

void fleet_agent::send_view(const coordinator_term& term, const std::string& vm)
{
    const loop_monitor::measurement measured(monitor_, loop_work::view_sent);
    if (vm == settings_.vm().name())
    {
        handle_view(view_for(term, vm));
        return;
    }
    const auto it = peers_.find(vm);
    if (it == peers_.end())
    {
        return;
    }
    proto::FleetDatagram datagram;
    *datagram.mutable_view() = view_for(term, vm);
    const auto bytes = datagram.SerializeAsString();
    error_code ignored; // the next view replaces a lost one
    socket_.send_to(asio::buffer(bytes), it->second, 0, ignored);
}

/// Adds the leads that have changed since those that the VM is known to have.
void fleet_agent::add_lead_changes(const std::string& vm,
                                   proto::FleetView& view)
{
    const auto known = told_leads_.known(vm);
    for (const auto& [group, row] : leads_.rows())
    {
        if (row.revision > known)
        {
            *view.add_leads() = row.lead;
            view.add_lead_versions(row.version);
        }
    }
    told_leads_.sent(vm, view.sequence(), leads_.revision());
}

/// Sends a view to each VM, if this VM is the coordinator. Of several changes
/// at once only the first is sent at once.
void fleet_agent::send_views()
{
    if (views_due_)
    {
        return; // the timer is set
    }
    const auto wait = views_sent_at_ + view_batch_interval - now_();
    if (wait <= microseconds(0))
    {
        send_views_now();
        return;
    }
    views_due_ = true;
    views_timer_.expires_after(wait);
    views_timer_.async_wait(
        [this](error_code error)
        {
            views_due_ = false;
            if (!error)
            {
                send_views_now();
            }
        });
}

void fleet_agent::send_views_now()
{
    const auto current = term();
    if (!current)
    {
        return;
    }
    views_sent_at_ = now_();
    for (const auto& [vm, member] : members_.rows)
    {
        send_view(*current, vm);
    }
}

} // namespace tanagerhoist
