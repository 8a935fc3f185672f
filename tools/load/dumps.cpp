#include "dumps.hpp"

#include "tanagerhoist/adapter/json_codec.hpp"

namespace tanagerhoist::load
{
namespace
{

constexpr milliseconds dump_timeout{5000};

} // namespace

std::optional<proto::standin::DatabaseDump> read_dump(load_client& client,
                                                      const endpoint& server)
{
    const auto answer =
        client.exchange(server, {"GET", "/dump", "", ""}, dump_timeout);
    proto::standin::DatabaseDump dump;
    if (!answer || !from_json(answer->body, dump))
    {
        return std::nullopt;
    }
    return dump;
}

std::optional<proto::standin::DatabaseDump>
read_primary_dump(load_client& client, const fleet_config& fleet,
                  const std::string& database)
{
    std::optional<proto::standin::DatabaseDump> found;
    for (const auto& server : fleet.servers_of(database))
    {
        auto dump = read_dump(client, server);
        if (dump && dump->primary() &&
            (!found || dump->sealed_term() > found->sealed_term()))
        {
            found = std::move(dump);
        }
    }
    return found;
}

} // namespace tanagerhoist::load
