#include "tanagerhoist/decision/primary_row_writer.hpp"

#include <utility>

namespace tanagerhoist
{

namespace
{

std::string row_name(const std::string& database)
{
    return "primary/" + database;
}

} // namespace

primary_row_writer::primary_row_writer(primary_row_options options)
    : options_(options)
{
}

void primary_row_writer::write(moment now, const proto::PrimaryBelief& belief,
                               outbox& out)
{
    auto& wanted = rows_[belief.database()];
    if (belief.term() <= wanted.belief.term())
    {
        return;
    }
    wanted.belief = belief;
    if (!wanted.busy)
    {
        read(now, belief.database(), out);
    }
}

void primary_row_writer::read(moment, const std::string& database, outbox& out)
{
    rows_.at(database).busy = true;
    proto::PlatformCall call;
    call.mutable_table_read()->set_row(row_name(database));
    out.call_platform(
        std::move(call), options_.call_timeout,
        [this, database, &out](moment now, const proto::PlatformReply* reply)
        { on_read(now, database, reply, out); });
}

void primary_row_writer::on_read(moment now, const std::string& database,
                                 const proto::PlatformReply* reply, outbox& out)
{
    if (reply == nullptr)
    {
        pause(now, database);
        return;
    }
    const auto& wanted = rows_.at(database).belief;
    proto::PrimaryRow row;
    const bool present = reply->outcome() == proto::PLATFORM_OK;
    if (present && row.ParseFromString(reply->value()) &&
        row.belief().term() >= wanted.term())
    {
        rows_.erase(database);
        return;
    }
    *row.mutable_belief() = wanted;
    proto::PlatformCall call;
    auto& write = *call.mutable_table_write();
    write.set_row(row_name(database));
    write.set_expected_version(present ? reply->version() : 0);
    write.set_value(row.SerializeAsString());
    out.call_platform(std::move(call), options_.call_timeout,
                      [this, database, term = wanted.term()](
                          moment at, const proto::PlatformReply* answer)
                      { on_written(at, database, term, answer); });
}

void primary_row_writer::on_written(moment now, const std::string& database,
                                    std::uint64_t term,
                                    const proto::PlatformReply* reply)
{
    const bool written =
        reply != nullptr && reply->outcome() == proto::PLATFORM_OK;
    if (written && rows_.at(database).belief.term() == term)
    {
        rows_.erase(database);
        return;
    }
    pause(now, database);
}

void primary_row_writer::pause(moment now, const std::string& database)
{
    auto& wanted = rows_.at(database);
    wanted.busy = false;
    wanted.retry = now + options_.retry_pause;
}

void primary_row_writer::on_tick(moment now, outbox& out)
{
    for (auto& [database, wanted] : rows_)
    {
        if (!wanted.busy && now >= wanted.retry)
        {
            read(now, database, out);
        }
    }
}

} // namespace tanagerhoist
