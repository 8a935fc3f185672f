// Transactions of the state test of whole nodes.
#include "fuzz/node_simulation.hpp"

namespace tanagerhoist::fuzz
{

void node_simulation::discard_transaction(session& from)
{
    oracle_.rolled_back_markers.insert(from.pending.markers.begin(),
                                       from.pending.markers.end());
    from.pending = {};
    from.transaction.clear();
}

void node_simulation::on_transaction_step(session& from,
                                          const std::string& marker,
                                          const proto::CallerReply* reply)
{
    from.pending.markers.push_back(marker);
    if (reply == nullptr || reply->code() != 0)
    {
        discard_transaction(from);
        return;
    }
    from.transaction = reply->transaction();
}

void node_simulation::begin_transaction(const command& c)
{
    auto& from = select_session(c);
    if (from.busy || !from.transaction.empty())
    {
        return;
    }
    from.database = c.b % 5 == 0 ? "e" : "d";
    from.pending = {};
    from.pending.database = from.database;
    from.pending.key = "k" + std::to_string(c.b % 3);
    auto request = make_request(from, "write-" + from.database, "");
    const auto marker = request.request_id() + ";";
    request.set_statement("APPEND " + from.pending.key + " " + marker);
    request.set_step(proto::TRANSACTION_BEGIN);
    send(from, request,
         [this, &from, marker](const proto::CallerReply* reply)
         { on_transaction_step(from, marker, reply); });
}

void node_simulation::continue_transaction(const command& c)
{
    auto& from = select_session(c);
    if (from.busy || from.transaction.empty())
    {
        return;
    }
    auto request = make_request(from, "write-" + from.database, "");
    const auto marker = request.request_id() + ";";
    request.set_statement("APPEND " + from.pending.key + " " + marker);
    request.set_step(proto::TRANSACTION_CONTINUE);
    request.set_transaction(from.transaction);
    send(from, request,
         [this, &from, marker](const proto::CallerReply* reply)
         { on_transaction_step(from, marker, reply); });
}

void node_simulation::commit_transaction(const command& c)
{
    auto& from = select_session(c);
    if (from.busy || from.transaction.empty())
    {
        return;
    }
    auto request = make_request(from, "write-" + from.database, "");
    request.set_step(proto::TRANSACTION_COMMIT);
    request.set_transaction(from.transaction);
    oracle_.writes[request.request_id()] = from.pending;
    from.pending = {};
    from.transaction.clear();
    send_write(from, request);
}

void node_simulation::roll_back_transaction(const command& c)
{
    auto& from = select_session(c);
    if (from.busy || from.transaction.empty())
    {
        return;
    }
    auto request = make_request(from, "write-" + from.database, "");
    request.set_step(proto::TRANSACTION_ROLLBACK);
    request.set_transaction(from.transaction);
    discard_transaction(from);
    send(from, request, [](const proto::CallerReply*) {});
}

} // namespace tanagerhoist::fuzz
