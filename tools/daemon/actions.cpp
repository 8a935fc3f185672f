// Handlers for the node's actions.

#include "daemon.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace tanagerhoist
{

daemon_process::handler daemon_process::handler_of(proto::Action::BodyCase body)
{
    switch (body)
    {
    case proto::Action::kAnswerCaller:
        return &daemon_process::answer_caller;
    case proto::Action::kCloseCaller:
        return &daemon_process::close_caller;
    case proto::Action::kOpenConnection:
        return &daemon_process::open_connection;
    case proto::Action::kCloseConnection:
        return &daemon_process::close_connection;
    case proto::Action::kCallDatabase:
        return &daemon_process::call_database;
    case proto::Action::kCallPlatform:
        return &daemon_process::call_platform;
    case proto::Action::kSendPeer:
        return &daemon_process::send_peer;
    case proto::Action::kUseSettings:
        return &daemon_process::use_settings;
    case proto::Action::kDrainFinished:
        return &daemon_process::drain_finished;
    case proto::Action::BODY_NOT_SET:
        break;
    }
    return nullptr;
}

void daemon_process::perform(std::vector<proto::Action> actions)
{
    for (auto& action : actions)
    {
        const handler handle = handler_of(action.body_case());
        if (handle != nullptr)
        {
            (this->*handle)(action);
        }
    }
}

worker& daemon_process::worker_for(std::uint64_t handle)
{
    return *workers_[handle % workers_.size()];
}

remote_address daemon_process::address_of(const std::string& server) const
{
    const auto it = servers_.find(server);
    return it == servers_.end() ? remote_address{} : it->second;
}

void daemon_process::answer_caller(proto::Action& action)
{
    auto& body = *action.mutable_answer_caller();
    const auto call = body.call();
    auto& target = *workers_.at(caller_frontend::worker_of(call));
    target.post_task([&target, call, reply = std::move(*body.mutable_reply())]
                     { target.frontend().answer(call, reply); });
}

void daemon_process::close_caller(proto::Action& action)
{
    const auto caller = action.close_caller().caller();
    auto& target = *workers_.at(caller_frontend::worker_of(caller));
    target.post_task([&target, caller]
                     { target.frontend().disconnect(caller); });
}

void daemon_process::open_connection(proto::Action& action)
{
    const auto connection = action.open_connection().connection();
    const auto where = address_of(action.open_connection().server());
    auto& target = worker_for(connection);
    target.post_task([&target, connection, where]
                     { target.connections().open(connection, where); });
}

void daemon_process::close_connection(proto::Action& action)
{
    const auto connection = action.close_connection().connection();
    auto& target = worker_for(connection);
    target.post_task([&target, connection]
                     { target.connections().close(connection); });
}

void daemon_process::call_database(proto::Action& action)
{
    auto& call = *action.mutable_call_database();
    const auto where = address_of(call.server());
    auto& target =
        worker_for(call.connection() == 0 ? call.tag() : call.connection());
    target.post_task([&target, where, call = std::move(call)]
                     { target.connections().call_database(call, where); });
}

void daemon_process::call_platform(proto::Action& action)
{
    auto& call = *action.mutable_call_platform();
    const remote_address where{
        settings_.platform().address(),
        static_cast<std::uint16_t>(settings_.platform().port())};
    auto& target = worker_for(call.tag());
    target.post_task([&target, where, call = std::move(call)]
                     { target.connections().call_platform(call, where); });
}

void daemon_process::send_peer(proto::Action& action)
{
    const auto bytes = peers_->send(action.send_peer());
    if (bytes > 0)
    {
        metrics_.count_peer_message(true, bytes);
    }
}

void daemon_process::use_settings(proto::Action& action)
{
    auto next = std::make_unique<settings_view>(
        std::move(*action.mutable_use_settings()->mutable_settings()));
    servers_.clear();
    for (const auto& server : next->all().server())
    {
        servers_[server.name()] = {server.address(),
                                   static_cast<std::uint16_t>(server.port())};
    }
    const auto version = next->version();
    snapshot_.publish(std::move(next));
    spdlog::info("{} settings version {} in force", metrics_.summary(),
                 version);
}

void daemon_process::drain_finished(proto::Action& /*action*/)
{
    spdlog::info("{} drained", metrics_.summary());
    finish(true);
}

} // namespace tanagerhoist
