#include "tanagerhoist/decision/outbox.hpp"

#include <utility>

namespace tanagerhoist
{

std::uint64_t outbox::call_database(std::string server,
                                    std::uint64_t connection,
                                    proto::DatabaseCall call,
                                    milliseconds timeout,
                                    database_handler handler)
{
    const std::uint64_t tag = next_tag_++;
    proto::Action action;
    auto& body = *action.mutable_call_database();
    body.set_tag(tag);
    body.set_connection(connection);
    body.set_server(std::move(server));
    body.set_timeout_ms(to_ms(timeout));
    *body.mutable_call() = std::move(call);
    actions_.push_back(std::move(action));
    database_.emplace(tag, std::move(handler));
    return tag;
}

std::uint64_t outbox::call_platform(proto::PlatformCall call,
                                    milliseconds timeout,
                                    platform_handler handler)
{
    const std::uint64_t tag = next_tag_++;
    proto::Action action;
    auto& body = *action.mutable_call_platform();
    body.set_tag(tag);
    body.set_timeout_ms(to_ms(timeout));
    *body.mutable_call() = std::move(call);
    actions_.push_back(std::move(action));
    platform_.emplace(tag, std::move(handler));
    return tag;
}

void outbox::send_peer(const std::string& to, std::uint64_t number,
                       proto::PeerMessage message)
{
    message.set_to(to);
    message.set_to_number(number);
    proto::Action action;
    *action.mutable_send_peer() = std::move(message);
    actions_.push_back(std::move(action));
}

void outbox::add(proto::Action action)
{
    actions_.push_back(std::move(action));
}

void outbox::note(proto::Event event)
{
    events_.push_back(std::move(event));
}

outbox::database_handler outbox::take_database(std::uint64_t tag)
{
    auto node = database_.extract(tag);
    return node.empty() ? database_handler() : std::move(node.mapped());
}

outbox::platform_handler outbox::take_platform(std::uint64_t tag)
{
    auto node = platform_.extract(tag);
    return node.empty() ? platform_handler() : std::move(node.mapped());
}

void outbox::forget(std::uint64_t tag)
{
    database_.erase(tag);
    platform_.erase(tag);
}

std::vector<proto::Action> outbox::take_actions()
{
    return std::exchange(actions_, {});
}

std::vector<proto::Event> outbox::take_events()
{
    return std::exchange(events_, {});
}

} // namespace tanagerhoist
