#include "standin/platform.hpp"

#include <utility>

namespace tanagerhoist::standin
{

namespace
{

proto::PlatformReply not_found()
{
    proto::PlatformReply reply;
    reply.set_outcome(proto::PLATFORM_NOT_FOUND);
    return reply;
}

} // namespace

std::optional<proto::PlatformReply>
platform::handle(moment now, const proto::PlatformCall& call)
{
    if (down_)
    {
        return std::nullopt;
    }
    auto reply = run(now, call);
    if (replies_to_lose_ > 0)
    {
        --replies_to_lose_;
        return std::nullopt;
    }
    return reply;
}

proto::PlatformReply platform::run(moment now, const proto::PlatformCall& call)
{
    switch (call.call_case())
    {
    case proto::PlatformCall::kTableRead:
        return read_row(call.table_read());
    case proto::PlatformCall::kTableWrite:
        return write_row(call.table_write());
    case proto::PlatformCall::kObjectRead:
        return read_object(call.object_read());
    case proto::PlatformCall::kObjectWrite:
        return write_object(call.object_write());
    case proto::PlatformCall::kList:
        return read_list(now);
    case proto::PlatformCall::CALL_NOT_SET:
        break;
    }
    return not_found();
}

proto::PlatformReply platform::read_row(const proto::TableRead& call) const
{
    const auto found = rows_.find(call.row());
    if (found == rows_.end())
    {
        return not_found();
    }
    proto::PlatformReply reply;
    reply.set_version(found->second.version());
    reply.set_value(found->second.value());
    return reply;
}

proto::PlatformReply platform::write_row(const proto::TableWrite& call)
{
    const auto found = rows_.find(call.row());
    const std::uint64_t version =
        found == rows_.end() ? 0 : found->second.version();
    proto::PlatformReply reply;
    if (version != call.expected_version())
    {
        if (found != rows_.end())
        {
            reply.set_value(found->second.value());
        }
        reply.set_version(version);
        reply.set_outcome(proto::PLATFORM_CONFLICT);
        return reply;
    }
    auto& row = rows_[call.row()];
    row.set_version(version + 1);
    row.set_value(call.value());
    reply.set_version(row.version());
    reply.set_value(row.value());
    return reply;
}

proto::PlatformReply platform::read_object(const proto::ObjectRead& call) const
{
    const auto found = objects_.find(call.name());
    if (found == objects_.end())
    {
        return not_found();
    }
    proto::PlatformReply reply;
    reply.set_value(found->second);
    return reply;
}

proto::PlatformReply platform::write_object(const proto::ObjectWrite& call)
{
    objects_[call.name()] = call.value();
    return {};
}

proto::PlatformReply platform::read_list(moment now)
{
    apply_visible_changes(now);
    proto::PlatformReply reply;
    for (const auto& [name, vm] : listed_)
    {
        *reply.add_listed() = vm;
    }
    return reply;
}

void platform::list(moment now, proto::ListedVm vm)
{
    change_list(now, [vm = std::move(vm)](vm_list& listed)
                { listed[vm.vm()] = vm; });
}

void platform::mark_leaving(moment now, const std::string& vm)
{
    change_list(now,
                [vm](vm_list& listed)
                {
                    const auto found = listed.find(vm);
                    if (found != listed.end())
                    {
                        found->second.set_leaving(true);
                    }
                });
}

void platform::drop(moment now, const std::string& vm)
{
    change_list(now, [vm](vm_list& listed) { listed.erase(vm); });
}

void platform::change_list(moment now, std::function<void(vm_list&)> make)
{
    changes_.push_back({now + list_lag_, std::move(make)});
    apply_visible_changes(now);
}

void platform::apply_visible_changes(moment now)
{
    while (!changes_.empty() && changes_.front().visible <= now)
    {
        changes_.front().make(listed_);
        changes_.pop_front();
    }
}

void platform::apply(moment now, const proto::standin::PlatformFault& fault)
{
    if (fault.has_down())
    {
        down_ = fault.down();
    }
    if (fault.has_slow_ms())
    {
        delay_ = milliseconds(fault.slow_ms());
    }
    if (fault.has_lose_replies())
    {
        replies_to_lose_ = fault.lose_replies();
    }
    for (const auto& vm : fault.listed())
    {
        list(now, vm);
    }
    for (const auto& vm : fault.leaving())
    {
        mark_leaving(now, vm);
    }
    for (const auto& vm : fault.dropped())
    {
        drop(now, vm);
    }
}

proto::standin::PlatformDump platform::dump() const
{
    proto::standin::PlatformDump dump;
    dump.mutable_row()->insert(rows_.begin(), rows_.end());
    dump.mutable_object()->insert(objects_.begin(), objects_.end());
    for (const auto& [name, vm] : listed_)
    {
        *dump.add_listed() = vm;
    }
    return dump;
}

} // namespace tanagerhoist::standin
