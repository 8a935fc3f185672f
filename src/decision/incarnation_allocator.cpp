#include "tanagerhoist/decision/incarnation_allocator.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace tanagerhoist
{

namespace
{

constexpr const char* row_name = "incarnations";
constexpr milliseconds call_timeout{1000};

} // namespace

void incarnation_allocator::on_tick(moment /*now*/, outbox& out)
{
    if (number_ != 0 || waiting_)
    {
        return;
    }
    waiting_ = true;
    if (have_row_)
    {
        write(row_version_, row_next_, out);
    }
    else
    {
        read(out);
    }
}

void incarnation_allocator::read(outbox& out)
{
    proto::PlatformCall call;
    call.mutable_table_read()->set_row(row_name);
    out.call_platform(
        std::move(call), call_timeout,
        [this](moment, const proto::PlatformReply* reply)
        {
            waiting_ = false;
            proto::IncarnationRow row;
            if (reply == nullptr || !row.ParseFromString(reply->value()))
            {
                return;
            }
            const bool found = reply->outcome() == proto::PLATFORM_OK;
            row_version_ = found ? reply->version() : 0;
            row_next_ = std::max<std::uint64_t>(row.next(), 1);
            have_row_ = true;
        });
}

void incarnation_allocator::write(std::uint64_t version, std::uint64_t next,
                                  outbox& out)
{
    proto::IncarnationRow row;
    row.set_next(next + 1);
    proto::PlatformCall call;
    auto& body = *call.mutable_table_write();
    body.set_row(row_name);
    body.set_expected_version(version);
    body.set_value(row.SerializeAsString());
    have_row_ = false;
    out.call_platform(std::move(call), call_timeout,
                      [this, next](moment, const proto::PlatformReply* reply)
                      {
                          waiting_ = false;
                          if (reply != nullptr &&
                              reply->outcome() == proto::PLATFORM_OK)
                          {
                              number_ = next;
                          }
                      });
}

} // namespace tanagerhoist
