#include "tanagerhoist/decision/transaction_table.hpp"

#include <algorithm>

namespace tanagerhoist
{
namespace
{

bool operator==(const transaction_user& a, const transaction_user& b)
{
    return a.caller == b.caller && a.workspace == b.workspace &&
           a.session == b.session;
}

} // namespace

transaction_table::transaction_table(const identity& self,
                                     transaction_table_options options)
    : self_(self), options_(options)
{
}

bool transaction_table::may_begin(const std::string& workspace,
                                  const std::string& server) const
{
    const auto count =
        std::count_if(open_.begin(), open_.end(),
                      [&](const auto& entry)
                      {
                          return entry.second.owner.workspace == workspace &&
                                 entry.second.server == server;
                      });
    return static_cast<std::size_t>(count) < options_.workspace_capacity;
}

std::string transaction_table::begin(moment now, const transaction_user& owner,
                                     const std::string& database,
                                     const std::string& server,
                                     std::uint64_t connection)
{
    if (by_connection_.count(connection) != 0)
    {
        return {};
    }
    open_transaction opened;
    opened.id = std::to_string(self_.number) + '-' + std::to_string(next_++);
    opened.owner = owner;
    opened.database = database;
    opened.server = server;
    opened.connection = connection;
    opened.begun = now;
    opened.last_used = now;
    by_connection_.emplace(connection, opened.id);
    std::string id = opened.id;
    open_.emplace(id, std::move(opened));
    return id;
}

transaction_table::found
transaction_table::find(const std::string& id,
                        const transaction_user& user) const
{
    const auto entry = open_.find(id);
    if (entry == open_.end())
    {
        return {result_code::unknown_transaction, nullptr};
    }
    if (!(entry->second.owner == user))
    {
        return {result_code::wrong_transaction_owner, nullptr};
    }
    return {result_code::ok, &entry->second};
}

bool transaction_table::start_statement(const std::string& id)
{
    const auto entry = open_.find(id);
    if (entry == open_.end() || entry->second.statement_outstanding)
    {
        return false;
    }
    entry->second.statement_outstanding = true;
    return true;
}

void transaction_table::finish_statement(moment now, const std::string& id)
{
    const auto entry = open_.find(id);
    if (entry != open_.end())
    {
        entry->second.statement_outstanding = false;
        entry->second.last_used = now;
    }
}

std::optional<open_transaction> transaction_table::finish(const std::string& id)
{
    auto node = open_.extract(id);
    if (node.empty())
    {
        return std::nullopt;
    }
    by_connection_.erase(node.mapped().connection);
    return std::move(node.mapped());
}

std::vector<open_transaction> transaction_table::expire(moment now)
{
    return take_if(
        [&](const open_transaction& each)
        {
            return !each.statement_outstanding &&
                   (each.last_used + options_.idle_timeout <= now ||
                    each.begun + options_.max_duration <= now);
        });
}

std::vector<open_transaction>
transaction_table::caller_gone(std::uint64_t caller)
{
    return take_if([&](const open_transaction& each)
                   { return each.owner.caller == caller; });
}

std::optional<open_transaction>
transaction_table::connection_lost(std::uint64_t connection)
{
    const auto id = by_connection_.find(connection);
    return id == by_connection_.end() ? std::nullopt
                                      : finish(std::string(id->second));
}

template <typename Predicate>
std::vector<open_transaction> transaction_table::take_if(Predicate matches)
{
    std::vector<open_transaction> taken;
    for (auto it = open_.begin(); it != open_.end();)
    {
        if (!matches(it->second))
        {
            ++it;
            continue;
        }
        by_connection_.erase(it->second.connection);
        taken.push_back(std::move(it->second));
        it = open_.erase(it);
    }
    return taken;
}

} // namespace tanagerhoist
