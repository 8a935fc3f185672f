#include "fleet_agent.hpp"

// Grants of operations, in the coordinator's term and after it.
namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

} // namespace

/// Notes until when the lease has been renewed.
void fleet_agent::note_term_end(const coordinator_term& term)
{
    coordinator_.grantor().use_term_end(now_() + lease_.time_left(term));
}

/// Whether this VM grants operations. Granting goes on after the term, until
/// a newer token is heard: the limits don't need the lease, as VMs use grants
/// of the newest coordinator only.
bool fleet_agent::may_grant()
{
    auto& grantor = coordinator_.grantor();
    grantor.note_token(lease_.row().token());
    const auto current = term();
    const bool in_term = current && current->token == grantor.token();
    grantor.use_term(now_(), in_term);
    const bool granting = !balances_passed_on_ && grantor.is_granting(now_());
    log_granting(granting && !in_term);
    return granting;
}

void fleet_agent::log_granting(bool after_term)
{
    if (after_term == granting_after_term_)
    {
        return;
    }
    granting_after_term_ = after_term;
    const auto& grantor = coordinator_.grantor();
    lines_.write(log_level::change, "granting_after_term",
                 {{"token", std::to_string(grantor.token())},
                  {"change", after_term ? "begins" : "ends"},
                  {"newest_token", std::to_string(grantor.newest_token())},
                  {"holds_lease", is_coordinator() ? "yes" : "no"}});
}

/// Answers a report with grants alone: a view belongs to a term.
void fleet_agent::grant_after_term(const proto::VmReport& report)
{
    auto& grantor = coordinator_.grantor();
    grantor.note_token(report.token());
    const auto* settings = proxy_.settings();
    if (settings == nullptr || !may_grant())
    {
        return;
    }
    proto::GrantReply reply;
    grantor.apply_report(now_(), report);
    grantor.grant(now_(), *settings, report.vm(), *reply.mutable_grants());
    send_grants(report.vm(), reply);
}

void fleet_agent::handle_grant_request(const proto::GrantRequest& request)
{
    auto& grantor = coordinator_.grantor();
    grantor.note_token(request.token());
    const auto* settings = proxy_.settings();
    proto::GrantReply reply;
    if (settings != nullptr && may_grant() &&
        grantor.grant(now_(), *settings, request, *reply.mutable_grants()))
    {
        send_grants(request.vm(), reply);
    }
}

/// Sends grants to the VM whose message is being handled.
void fleet_agent::send_grants(const std::string& vm, proto::GrantReply& reply)
{
    reply.set_token(coordinator_.grantor().token());
    reply.set_sequence(++view_sequence_);
    reply.set_after_term(!coordinator_.grantor().is_in_term());
    if (vm == settings_.vm().name())
    {
        handle_grant_reply(reply);
        return;
    }
    proto::FleetDatagram datagram;
    *datagram.mutable_reply() = std::move(reply);
    const auto bytes = datagram.SerializeAsString();
    error_code ignored; // operations in a lost reply are lost
    socket_.send_to(asio::buffer(bytes), sender_, 0, ignored);
}

/// Tells the last coordinator that this VM has heard a newer one, whose views
/// may not reach it.
void fleet_agent::tell_former_coordinator(std::uint64_t token)
{
    if (!messages_.is_new_coordinator(token) ||
        coordinator_endpoint_.port() == 0 || coordinator_endpoint_ == sender_)
    {
        return;
    }
    proto::FleetDatagram datagram;
    auto& request = *datagram.mutable_request();
    request.set_vm(settings_.vm().name());
    request.set_life(life_);
    request.set_sequence(messages_.next_sequence());
    request.set_token(token);
    const auto bytes = datagram.SerializeAsString();
    error_code ignored; // it stops by itself some seconds after its term
    socket_.send_to(asio::buffer(bytes), coordinator_endpoint_, 0, ignored);
}

} // namespace tanagerhoist
