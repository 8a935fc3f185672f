#include "fleet_agent.hpp"

#include "tanagerhoist/session/coordinator_times.hpp"

#include <boost/asio/post.hpp>

#include <utility>

// Deputies, which grant what VMs hand over while the coordinator is lost.
namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using boost::system::error_code;

/// How much later than it is due the loss of the coordinator is looked for.
constexpr milliseconds loss_check_margin{5};

/// After a report, when a coordinator that has not answered counts as lost.
constexpr milliseconds loss_check_wait =
    grant_answer_timeout + loss_check_margin;

} // namespace

void fleet_agent::add_deputies(const coordinator_term& term,
                               proto::FleetView& view)
{
    if (is_current(term))
    {
        told_deputies_.update(now_(), members_, settings_.vm().name(),
                              [this](const std::string& vm) {
                                  return coordinator_.is_reporting(now_(), vm);
                              });
    }
    told_deputies_.add_to(view);
}

void fleet_agent::use_deputies(const proto::FleetView& view)
{
    handover_.use_deputies(view);
    pool_.use_token(view.token());
    log_deputies();
}

/// Looks whether the coordinator has answered the report just sent.
void fleet_agent::schedule_handover()
{
    handover_timer_.expires_after(loss_check_wait);
    handover_timer_.async_wait(
        [this](error_code error)
        {
            if (!error)
            {
                hand_over_if_due();
            }
        });
}

void fleet_agent::hand_over_if_due()
{
    log_deputies();
    if (!handover_.is_due(now_(), proxy_.held() > 0))
    {
        return;
    }
    proto::OperationHandover message;
    message.set_vm(settings_.vm().name());
    message.set_life(life_);
    message.set_sequence(messages_.next_sequence());
    message.set_token(messages_.token());
    handover_.hand_over(
        now_(), std::move(message), proxy_.held_statements(),
        [this](const proto::FleetDeputy& to, proto::OperationHandover handed)
        { return send_handover(to, std::move(handed)); });
    log_unsent_handovers();
}

/// @return false if the message could not be sent
bool fleet_agent::send_handover(const proto::FleetDeputy& to,
                                proto::OperationHandover message)
{
    if (to.vm() == settings_.vm().name())
    {
        // Not at once: a statement that is being admitted may have asked.
        asio::post(context_,
                   [this, own = std::move(message)] { handle_handover(own); });
        return true;
    }
    error_code error;
    const auto ip = asio::ip::make_address(to.address(), error);
    if (error)
    {
        return false;
    }
    proto::FleetDatagram datagram;
    *datagram.mutable_handover() = std::move(message);
    const auto bytes = datagram.SerializeAsString();
    socket_.send_to(asio::buffer(bytes),
                    {ip, static_cast<std::uint16_t>(to.peer_port())}, 0, error);
    return !error;
}

/// Grants, as a deputy, to the VM whose message is being handled.
void fleet_agent::handle_handover(const proto::OperationHandover& handover)
{
    const auto* settings = proxy_.settings();
    proto::FleetDatagram datagram;
    auto& reply = *datagram.mutable_handover_reply();
    if (leaving_ || settings == nullptr ||
        !pool_.use_handover(now_(), *settings, handover, reply))
    {
        return;
    }
    log_deputies();
    if (handover.vm() == settings_.vm().name())
    {
        handle_handover_reply(reply);
        return;
    }
    const auto bytes = datagram.SerializeAsString();
    error_code error;
    socket_.send_to(asio::buffer(bytes), sender_, 0, error);
    if (error)
    {
        handover_.note_unsent(reply);
        log_unsent_handovers();
    }
}

void fleet_agent::handle_handover_reply(const proto::HandoverReply& reply)
{
    if (reply.life() != life_)
    {
        return; // to a former process of this VM
    }
    proxy_.use_handover_reply(now_(), reply);
    hand_over_if_due();
}

/// Logs when this VM begins and ends to use a deputy, or to be one.
void fleet_agent::log_deputies()
{
    const auto used = handover_.answering_deputy();
    if (used != logged_deputy_)
    {
        lines_.write(log_level::change, "deputy_used",
                     {{"change", used.empty() ? "ends" : "begins"},
                      {"deputy", used.empty() ? logged_deputy_ : used},
                      {"token", std::to_string(messages_.token())}});
        logged_deputy_ = used;
    }
    const bool serving = pool_.is_serving(now_());
    if (serving != logged_serving_)
    {
        logged_serving_ = serving;
        lines_.write(log_level::change, "deputy_serves",
                     {{"change", serving ? "begins" : "ends"},
                      {"token", std::to_string(messages_.token())},
                      {"handed", std::to_string(pool_.handed())},
                      {"granted", std::to_string(pool_.granted())}});
    }
}

/// Logs at most once a second how many messages could not be sent.
void fleet_agent::log_unsent_handovers()
{
    const auto messages =
        unsent_handovers_rise_.take(now_(), handover_.unsent_messages());
    if (messages != 0)
    {
        lines_.write(
            log_level::change, "handover_unsent",
            {{"messages", std::to_string(messages)},
             {"lost_operations", std::to_string(handover_.unsent_operations())},
             {"token", std::to_string(messages_.token())}});
    }
}

} // namespace tanagerhoist
