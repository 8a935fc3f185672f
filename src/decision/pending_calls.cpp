#include "tanagerhoist/decision/pending_calls.hpp"

#include <memory>
#include <utility>

namespace tanagerhoist
{

void pending_calls::call(outbox& out, const std::string& server,
                         proto::DatabaseCall call, milliseconds timeout,
                         outbox::database_handler handler)
{
    auto tag = std::make_shared<std::uint64_t>(0);
    *tag = out.call_database(
        server, 0, std::move(call), timeout,
        [this, tag, handler = std::move(handler)](
            moment now, const proto::DatabaseReply* reply, bool sent)
        {
            tags_.erase(*tag);
            handler(now, reply, sent);
        });
    tags_.insert(*tag);
}

void pending_calls::call(outbox& out, proto::PlatformCall call,
                         milliseconds timeout, outbox::platform_handler handler)
{
    auto tag = std::make_shared<std::uint64_t>(0);
    *tag = out.call_platform(std::move(call), timeout,
                             [this, tag, handler = std::move(handler)](
                                 moment now, const proto::PlatformReply* reply)
                             {
                                 tags_.erase(*tag);
                                 handler(now, reply);
                             });
    tags_.insert(*tag);
}

void pending_calls::drop(outbox& out)
{
    for (const auto tag : tags_)
    {
        out.forget(tag);
    }
    tags_.clear();
}

} // namespace tanagerhoist
