// Requests and final checks of the state test of whole nodes.
#include "fuzz/node_simulation.hpp"

#include "tanagerhoist/core/log_point.hpp"
#include "tanagerhoist/core/result_code.hpp"

#include <rapidcheck.h>

namespace tanagerhoist::fuzz
{

namespace
{

constexpr milliseconds recovery_time{15'000};
constexpr std::size_t session_count = 4;

standin::fleet_options simulation_options()
{
    standin::fleet_options options;
    options.vms = {{"vm1", "a"}, {"vm2", "b"}, {"vm3", "c"}};
    options.settings = test_settings();
    return options;
}

} // namespace

bool had_no_effect(const proto::CallerReply& reply)
{
    const auto end = info(static_cast<result_code>(reply.code())).outcome;
    return end == outcome::not_run || end == outcome::caller_error;
}

std::ostream& operator<<(std::ostream& os, const command& c)
{
    return os << node_simulation::kind_name(c.kind) << '(' << c.a << ',' << c.b
              << ')';
}

const std::vector<node_simulation::step_entry>& node_simulation::steps()
{
    // Requests are listed several times, since a fault shows only in the
    // requests that run during it.
    static const std::vector<step_entry> rows{
        {"read", &node_simulation::read},
        {"write", &node_simulation::write},
        {"read", &node_simulation::read},
        {"write", &node_simulation::write},
        {"write", &node_simulation::write},
        {"begin", &node_simulation::begin_transaction},
        {"continue", &node_simulation::continue_transaction},
        {"commit", &node_simulation::commit_transaction},
        {"roll_back", &node_simulation::roll_back_transaction},
        {"repeat", &node_simulation::repeat_write},
        {"move", &node_simulation::move_session},
        {"move", &node_simulation::move_session},
        {"burst", &node_simulation::burst},
        {"write_then_read", &node_simulation::write_then_read},
        {"write_then_read", &node_simulation::write_then_read},
        {"write_and_cut", &node_simulation::write_and_cut},
        {"set_lag", &node_simulation::set_lag},
        {"leave_while_waiting", &node_simulation::decommission_while_waiting},
        {"kill_vm", &node_simulation::kill_vm},
        {"freeze_vm", &node_simulation::freeze_vm},
        {"cut_vm", &node_simulation::cut_vm},
        {"cut_replicas", &node_simulation::cut_replicas},
        {"kill_server", &node_simulation::kill_server},
        {"platform_fault", &node_simulation::platform_fault},
        {"peer_faults", &node_simulation::peer_faults},
        {"drain_vm", &node_simulation::drain_vm},
        {"heal", &node_simulation::heal},
        {"wait", &node_simulation::wait},
        {"wait", &node_simulation::wait},
        {"change_settings", &node_simulation::change_settings},
        {"publish_twice", &node_simulation::publish_concurrently},
        {"withdraw", &node_simulation::withdraw_key}};
    return rows;
}

const char* node_simulation::kind_name(std::uint32_t kind)
{
    return steps()[kind].name;
}

std::uint32_t node_simulation::kind_count()
{
    return static_cast<std::uint32_t>(steps().size());
}

node_simulation::node_simulation()
    : fleet_(simulation_options()), oracle_(fleet_)
{
    record_settings_head();
    fleet_.observe([this](const std::string& vm, const proto::Action& action)
                   { oracle_.on_action(vm, action); },
                   [this](const proto::Event& event)
                   { oracle_.on_event(event); });
    for (std::size_t i = 0; i < session_count; ++i)
    {
        session made;
        made.name = "s" + std::to_string(i);
        made.key = i % 2;
        made.vm = vms[i % vms.size()];
        made.token.set_session(made.name);
        sessions_.push_back(made);
    }
    fleet_.run_for(settle_time);
}

void node_simulation::run(const command& c)
{
    (this->*steps()[c.kind].run)(c);
    fleet_.run_for(milliseconds(c.b % 30));
    check();
}

void node_simulation::check()
{
    if (const auto failure = oracle_.failure())
    {
        RC_FAIL(*failure);
    }
}

std::string node_simulation::select_vm(std::uint32_t number) const
{
    return vms[number % vms.size()];
}

std::string node_simulation::select_server(std::uint32_t number) const
{
    const std::string database = number % 4 == 0 ? "e" : "d";
    return database + "-" + "abc"[number % 3];
}

// ---- requests -------------------------------------------------------------

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

// ---- transactions ---------------------------------------------------------

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

// ---- end ------------------------------------------------------------------

void node_simulation::finish()
{
    heal_all();
    fleet_.run_for(recovery_time);
    for (const auto& vm : vms)
    {
        if (fleet_.running(vm) &&
            fleet_.decisions(vm)->current_metrics(fleet_.now()).draining)
        {
            oracle_.fail("drain did not finish at " + vm);
        }
    }
    heal_all(); // restarts the VMs that have drained
    fleet_.run_for(settle_time);
    check();
    check_service();
    check();
    oracle_.check_logs();
    check();
}

/// Checks that every VM serves requests after all faults have ended.
void node_simulation::check_service()
{
    for (auto& from : sessions_)
    {
        if (from.busy)
        {
            oracle_.fail("no reply to a request of " + from.name);
        }
    }
    for (std::uint32_t i = 0; i < vms.size(); ++i)
    {
        auto& from = sessions_[i];
        from.vm = vms[i];
        write({0, i, 1});
        const auto id = from.last_write.request_id();
        fleet_.run_for(milliseconds(1000));
        if (!oracle_.writes[id].acknowledged)
        {
            oracle_.fail("write not acknowledged after recovery at " + from.vm);
        }
        read({0, i, 6});
        fleet_.run_for(milliseconds(500));
    }
}

} // namespace tanagerhoist::fuzz
