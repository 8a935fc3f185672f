#include "dumps.hpp"

#include "tanagerhoist/adapter/json_codec.hpp"

namespace tanagerhoist::load
{
namespace
{

constexpr milliseconds dump_timeout{5000};

} // namespace

std::optional<proto::standin::DatabaseDump> dump_of(caller& calls,
                                                    const endpoint& server)
{
    const auto answer =
        calls.exchange(server, {"GET", "/dump", "", ""}, dump_timeout);
    proto::standin::DatabaseDump dump;
    if (!answer || !from_json(answer->body, dump))
    {
        return std::nullopt;
    }
    return dump;
}

std::optional<proto::standin::DatabaseDump>
primary_dump(caller& calls, const fleet& all, const std::string& database)
{
    std::optional<proto::standin::DatabaseDump> found;
    for (const auto& server : all.servers_of(database))
    {
        auto dump = dump_of(calls, server);
        if (dump && dump->primary() &&
            (!found || dump->sealed_term() > found->sealed_term()))
        {
            found = std::move(dump);
        }
    }
    return found;
}

} // namespace tanagerhoist::load
