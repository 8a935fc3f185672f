/// Execution of statements and transactions by a database server.
#include "standin/database_server.hpp"
#include "tanagerhoist/core/log_point.hpp"

#include <utility>

namespace tanagerhoist::standin
{

namespace
{

proto::ExecuteReply make_reply(proto::DatabaseOutcome outcome)
{
    proto::ExecuteReply reply;
    reply.set_outcome(outcome);
    return reply;
}

} // namespace

proto::ExecuteReply
database_server::execute(moment now, std::uint64_t connection,
                         const proto::ExecuteRequest& request)
{
    proto::ExecuteReply reply;
    if (const auto outcome = check_primary_role(request))
    {
        reply = make_reply(*outcome);
    }
    else
    {
        using step = proto::ExecuteReply (database_server::*)(
            std::uint64_t, const proto::ExecuteRequest&);
        constexpr step steps[] = {
            &database_server::run_single_statement, &database_server::begin,
            &database_server::continue_transaction, &database_server::commit,
            &database_server::rollback};
        reply = (this->*steps[request.step()])(connection, request);
    }
    if (!reply.has_point())
    {
        *reply.mutable_point() = log_.last();
    }
    reply.set_age_ms(to_ms(age(now)));
    return reply;
}

std::optional<proto::DatabaseOutcome>
database_server::check_primary_role(const proto::ExecuteRequest& request) const
{
    const bool for_primary = request.kind() == proto::STATEMENT_WRITE ||
                             request.step() != proto::TRANSACTION_NONE ||
                             request.term() != 0;
    if (!for_primary)
    {
        return std::nullopt;
    }
    if (request.term() != 0 && request.term() < sealed_term_)
    {
        return proto::DATABASE_SEALED;
    }
    if (!primary_ || request.term() > sealed_term_)
    {
        return proto::DATABASE_NOT_PRIMARY;
    }
    return std::nullopt;
}

proto::ExecuteReply
database_server::run_single_statement(std::uint64_t /*connection*/,
                                      const proto::ExecuteRequest& request)
{
    return run_and_append({request}, request.request_id());
}

proto::ExecuteReply database_server::begin(std::uint64_t connection,
                                           const proto::ExecuteRequest& request)
{
    transactions_[connection].clear();
    auto reply = continue_transaction(connection, request);
    if (reply.outcome() != proto::DATABASE_OK)
    {
        transactions_.erase(connection);
    }
    return reply;
}

proto::ExecuteReply
database_server::continue_transaction(std::uint64_t connection,
                                      const proto::ExecuteRequest& request)
{
    const auto open = transactions_.find(connection);
    if (open == transactions_.end())
    {
        return make_reply(proto::DATABASE_NO_TRANSACTION);
    }
    auto requests = open->second;
    requests.push_back(request);
    auto reply = run(requests, nullptr);
    if (reply.outcome() == proto::DATABASE_OK)
    {
        open->second = std::move(requests);
    }
    return reply;
}

proto::ExecuteReply
database_server::commit(std::uint64_t connection,
                        const proto::ExecuteRequest& request)
{
    const auto open = transactions_.find(connection);
    if (open == transactions_.end())
    {
        const auto first = find_duplicate(request.request_id());
        return first ? *first : make_reply(proto::DATABASE_NO_TRANSACTION);
    }
    auto requests = std::move(open->second);
    transactions_.erase(open);
    requests.push_back(request);
    return run_and_append(requests, request.request_id());
}

proto::ExecuteReply
database_server::rollback(std::uint64_t connection,
                          const proto::ExecuteRequest& /*request*/)
{
    return make_reply(transactions_.erase(connection) != 0
                          ? proto::DATABASE_OK
                          : proto::DATABASE_NO_TRANSACTION);
}

proto::ExecuteReply
database_server::run(const std::vector<proto::ExecuteRequest>& requests,
                     proto::standin::LogEntry* entry) const
{
    store_view view(log_.store());
    auto reply = make_reply(proto::DATABASE_OK);
    for (const auto& request : requests)
    {
        if (request.statement().empty())
        {
            continue;
        }
        auto result = evaluate(request.statement(),
                               request.kind() == proto::STATEMENT_WRITE, view);
        if (!result.error.empty())
        {
            reply = make_reply(proto::DATABASE_STATEMENT_ERROR);
            reply.set_error(std::move(result.error));
            return reply;
        }
        reply.set_value(std::move(result.value));
    }
    if (entry != nullptr)
    {
        for (const auto& [key, value] : view.changes())
        {
            auto& change = *entry->add_change();
            change.set_key(key);
            change.set_value(value);
        }
    }
    return reply;
}

proto::ExecuteReply database_server::run_and_append(
    const std::vector<proto::ExecuteRequest>& requests,
    const std::string& request_id)
{
    if (requests.back().kind() == proto::STATEMENT_WRITE ||
        requests.back().step() == proto::TRANSACTION_COMMIT)
    {
        if (auto first = find_duplicate(request_id))
        {
            return *first;
        }
    }
    proto::standin::LogEntry entry;
    auto reply = run(requests, &entry);
    if (reply.outcome() != proto::DATABASE_OK || entry.change().empty())
    {
        return reply;
    }
    *entry.mutable_point() = make_point(sealed_term_, log_.size() + 1);
    entry.set_request_id(request_id);
    entry.set_value(reply.value());
    for (const auto& request : requests)
    {
        if (!request.statement().empty())
        {
            entry.add_statement(request.statement());
        }
    }
    log_.append(std::move(entry));
    return reply;
}

std::optional<proto::ExecuteReply>
database_server::find_duplicate(const std::string& request_id) const
{
    const auto* first = log_.find(request_id);
    if (first == nullptr)
    {
        return std::nullopt;
    }
    auto reply = make_reply(proto::DATABASE_DUPLICATE);
    *reply.mutable_point() = first->point();
    reply.set_value(first->value());
    return reply;
}

} // namespace tanagerhoist::standin
