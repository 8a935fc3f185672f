#ifndef TANAGERHOIST_TESTS_FAKE_PLATFORM_HPP
#define TANAGERHOIST_TESTS_FAKE_PLATFORM_HPP

#include "messages.pb.h"
#include "tanagerhoist/decision/outbox.hpp"

#include <map>
#include <optional>
#include <string>
#include <utility>

namespace tanagerhoist
{

/// In-memory table and object store for unit tests.
class fake_platform
{
public:
    bool down = false;         ///< calls have no effect and get no reply
    unsigned lose_replies = 0; ///< replies still to be lost after their change
    unsigned writes = 0;       ///< table writes that took effect
    std::map<std::string, std::pair<std::uint64_t, std::string>> rows;
    std::map<std::string, std::string> objects;

    std::optional<proto::PlatformReply> handle(const proto::PlatformCall& call)
    {
        if (down)
        {
            return std::nullopt;
        }
        proto::PlatformReply reply = run(call);
        if (lose_replies > 0)
        {
            --lose_replies;
            return std::nullopt;
        }
        return reply;
    }

    /// Answers the platform calls among the actions of `out`, including those
    /// that result from the answers; returns the other actions.
    std::vector<proto::Action> serve(moment now, outbox& out)
    {
        std::vector<proto::Action> others;
        for (auto actions = out.take_actions(); !actions.empty();
             actions = out.take_actions())
        {
            for (auto& action : actions)
            {
                if (!action.has_call_platform())
                {
                    others.push_back(std::move(action));
                    continue;
                }
                const auto reply = handle(action.call_platform().call());
                const auto handler =
                    out.take_platform(action.call_platform().tag());
                handler(now, reply ? &*reply : nullptr);
            }
        }
        return others;
    }

private:
    proto::PlatformReply run(const proto::PlatformCall& call)
    {
        proto::PlatformReply reply;
        if (call.has_table_write())
        {
            auto& [version, value] = rows[call.table_write().row()];
            if (version == call.table_write().expected_version())
            {
                ++version;
                ++writes;
                value = call.table_write().value();
            }
            else
            {
                reply.set_outcome(proto::PLATFORM_CONFLICT);
            }
            reply.set_version(version);
            reply.set_value(value);
        }
        else if (call.has_object_write())
        {
            objects[call.object_write().name()] = call.object_write().value();
        }
        else if (call.has_table_read() && rows.count(call.table_read().row()))
        {
            const auto& [version, value] = rows[call.table_read().row()];
            reply.set_version(version);
            reply.set_value(value);
        }
        else if (call.has_object_read() &&
                 objects.count(call.object_read().name()))
        {
            reply.set_value(objects[call.object_read().name()]);
        }
        else
        {
            reply.set_outcome(proto::PLATFORM_NOT_FOUND);
        }
        return reply;
    }
};

} // namespace tanagerhoist

#endif
