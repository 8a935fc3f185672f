// Requests of the state test of whole nodes.
#include "fuzz/node_simulation.hpp"

#include "tanagerhoist/core/log_point.hpp"

namespace tanagerhoist::fuzz
{

session& node_simulation::select_session(const command& c)
{
    return sessions_[c.a % sessions_.size()];
}

std::uint64_t node_simulation::connected_caller(session& from)
{
    auto& caller = from.callers[from.vm];
    if (caller == 0 || !fleet_.connected(caller))
    {
        caller = fleet_.connect(from.vm);
    }
    return caller;
}

proto::CallerRequest node_simulation::make_request(session& from,
                                                   const std::string& route,
                                                   const std::string& statement)
{
    proto::CallerRequest request;
    request.set_request_id("q" + std::to_string(next_id_++));
    request.set_route(route);
    request.set_statement(statement);
    *request.mutable_token() = from.token;
    request.set_deadline_ms(from.deadline_ms);
    return request;
}

void node_simulation::send(session& from, const proto::CallerRequest& request,
                           const standin::fleet::answer_handler& done)
{
    const auto& key = test_keys[from.key];
    oracle_.record_request(request.request_id(), key.workspace);
    from.busy = true;
    fleet_.request(connected_caller(from), credential_of(key), request,
                   [&from, done](const proto::CallerReply* reply)
                   {
                       from.busy = false;
                       done(reply);
                   });
}

void node_simulation::merge_token(session& from,
                                  const proto::CallerReply& reply)
{
    for (const auto& [database, point] : reply.token().seen())
    {
        auto& seen = (*from.token.mutable_seen())[database];
        if (seen < point)
        {
            seen = point;
        }
    }
}

void node_simulation::read(const command& c)
{
    auto& from = select_session(c);
    if (from.busy)
    {
        return;
    }
    const std::string database = c.b % 5 == 0 ? "e" : "d";
    const std::string key = "k" + std::to_string(c.b % 3);
    auto request = make_request(
        from, (c.b % 2 == 0 ? "read-" : "aged-") + database, "GET " + key);
    if (c.b % 7 == 0) // the token was lost
    {
        request.clear_token();
        request.set_session(from.name);
    }
    const auto expected = from.own_writes[database][key];
    send(from, request,
         [this, &from, expected](const proto::CallerReply* reply)
         {
             if (reply == nullptr || reply->code() != 0)
             {
                 return;
             }
             for (const auto& marker : expected)
             {
                 if (reply->value().find(marker) == std::string::npos)
                 {
                     oracle_.fail("read did not return own write of " +
                                  from.name + ": " + marker);
                 }
             }
             merge_token(from, *reply);
         });
}

void node_simulation::write(const command& c)
{
    auto& from = select_session(c);
    if (from.busy)
    {
        return;
    }
    const std::string database = c.b % 5 == 0 ? "e" : "d";
    const std::string key = "k" + std::to_string(c.b % 3);
    auto request =
        make_request(from, (c.b % 2 == 0 ? "write-" : "book-") + database, "");
    const auto marker = request.request_id() + ";";
    request.set_statement("APPEND " + key + " " + marker);
    auto& record = oracle_.writes[request.request_id()];
    record.database = database;
    record.key = key;
    record.markers = {marker};
    from.last_write = request;
    send_write(from, request);
}

/// Reads the session's own write through another VM, soon after the
/// acknowledgement.
void node_simulation::write_then_read(const command& c)
{
    auto& from = select_session(c);
    write(c);
    fleet_.run_for(milliseconds(15 + c.b % 20));
    if (from.transaction.empty())
    {
        from.vm = select_vm(c.a / 4);
    }
    read(c);
}

/// Cuts a VM off the databases while one of its writes is in flight. The reply
/// is lost, although the write may have run.
void node_simulation::write_and_cut(const command& c)
{
    auto& from = select_session(c);
    from.deadline_ms = c.b % 2 == 0 ? 50 + c.b : 0;
    write(c);
    from.deadline_ms = 0;
    fleet_.run_for(microseconds(4000 + c.a * 3));
    for (const std::string database : {"d", "e"})
    {
        for (const auto& server : fleet_.group(database).servers())
        {
            fleet_.cut(from.vm, server);
        }
    }
    if (c.b % 5 == 0 && fleet_.running(from.vm))
    {
        fleet_.drain(from.vm);
    }
    fleet_.run_for(milliseconds(c.b));
}

void node_simulation::send_write(session& from,
                                 const proto::CallerRequest& request)
{
    ++oracle_.writes[request.request_id()].calls;
    send(from, request,
         [this, &from, id = request.request_id()](
             const proto::CallerReply* reply) { on_write(from, id, reply); });
}

void node_simulation::on_write(session& from, const std::string& id,
                               const proto::CallerReply* reply)
{
    auto& record = oracle_.writes[id];
    if (reply == nullptr)
    {
        return;
    }
    record.rejected += had_no_effect(*reply) ? 1 : 0;
    if (reply->code() != 0)
    {
        return;
    }
    record.acknowledged = true;
    record.point = reply->token().seen().at(record.database);
    auto& own_writes = from.own_writes[record.database][record.key];
    own_writes.insert(own_writes.end(), record.markers.begin(),
                      record.markers.end());
    merge_token(from, *reply);
}

void node_simulation::repeat_write(const command& c)
{
    auto& from = select_session(c);
    if (from.busy || from.last_write.request_id().empty())
    {
        return;
    }
    from.vm = select_vm(c.b);
    from.last_write.mutable_token()->CopyFrom(from.token);
    send_write(from, from.last_write);
}

void node_simulation::move_session(const command& c)
{
    auto& from = select_session(c);
    if (from.transaction.empty())
    {
        from.vm = select_vm(c.b);
    }
}

void node_simulation::burst(const command& c)
{
    auto& from = select_session(c);
    const auto caller = fleet_.connect(from.vm);
    const auto& key = test_keys[from.key];
    for (std::uint32_t i = 0; i < 5 + c.b % 20; ++i)
    {
        const auto request = make_request(from, "read-d", "GET k0");
        oracle_.record_request(request.request_id(), key.workspace);
        fleet_.request(caller, credential_of(key), request,
                       [](const proto::CallerReply*) {});
    }
}

} // namespace tanagerhoist::fuzz
