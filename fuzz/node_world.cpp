// Commands of the state test of the whole decision layer.
#include "fuzz/node_world.hpp"

#include "tanagerhoist/core/log_point.hpp"
#include "tanagerhoist/core/result_code.hpp"

#include <rapidcheck.h>

namespace tanagerhoist::fuzz
{

namespace
{

constexpr milliseconds healing{15'000};
constexpr std::size_t session_count = 4;

standin::fleet_options world_options()
{
    standin::fleet_options options;
    options.vms = {{"vm1", "a"}, {"vm2", "b"}, {"vm3", "c"}};
    options.settings = world_settings();
    return options;
}

} // namespace

bool refuses(const proto::CallerReply& reply)
{
    const auto end = info(static_cast<result_code>(reply.code())).outcome;
    return end == outcome::not_run || end == outcome::caller_error;
}

std::ostream& operator<<(std::ostream& os, const command& c)
{
    return os << node_world::name_of(c.kind) << '(' << c.a << ',' << c.b << ')';
}

const std::vector<node_world::step_row>& node_world::steps()
{
    // Requests stand several times, since faults matter only to them.
    static const std::vector<step_row> rows{
        {"read", &node_world::read},
        {"write", &node_world::write},
        {"read", &node_world::read},
        {"write", &node_world::write},
        {"write", &node_world::write},
        {"begin", &node_world::begin},
        {"continue", &node_world::go_on},
        {"commit", &node_world::commit},
        {"roll_back", &node_world::roll_back},
        {"repeat", &node_world::repeat},
        {"move", &node_world::move},
        {"move", &node_world::move},
        {"burst", &node_world::burst},
        {"write_then_read", &node_world::write_then_read},
        {"write_then_read", &node_world::write_then_read},
        {"write_and_cut", &node_world::write_and_cut},
        {"set_lag", &node_world::set_lag},
        {"leave_while_waiting", &node_world::leave_while_waiting},
        {"kill_vm", &node_world::kill_vm},
        {"freeze_vm", &node_world::freeze_vm},
        {"cut_vm", &node_world::cut_vm},
        {"cut_replicas", &node_world::cut_replicas},
        {"kill_server", &node_world::kill_server},
        {"platform_fault", &node_world::platform_fault},
        {"peer_faults", &node_world::peer_faults},
        {"drain_vm", &node_world::drain_vm},
        {"heal", &node_world::heal},
        {"wait", &node_world::wait},
        {"wait", &node_world::wait},
        {"change_settings", &node_world::change_settings},
        {"publish_twice", &node_world::publish_twice},
        {"withdraw", &node_world::withdraw}};
    return rows;
}

const char* node_world::name_of(std::uint32_t kind)
{
    return steps()[kind].name;
}

std::uint32_t node_world::kinds()
{
    return static_cast<std::uint32_t>(steps().size());
}

node_world::node_world() : fleet_(world_options()), oracle_(fleet_)
{
    note_head();
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
    fleet_.run_for(settling);
}

void node_world::run(const command& c)
{
    (this->*steps()[c.kind].run)(c);
    fleet_.run_for(milliseconds(c.b % 30));
    check();
}

void node_world::check()
{
    if (const auto failure = oracle_.failure())
    {
        RC_FAIL(*failure);
    }
}

std::string node_world::vm_of(std::uint32_t number) const
{
    return vms[number % vms.size()];
}

std::string node_world::server_of(std::uint32_t number) const
{
    const std::string database = number % 4 == 0 ? "e" : "d";
    return database + "-" + "abc"[number % 3];
}

// ---- requests -------------------------------------------------------------

session& node_world::free_session(const command& c)
{
    return sessions_[c.a % sessions_.size()];
}

std::uint64_t node_world::caller_of(session& from)
{
    auto& caller = from.callers[from.vm];
    if (caller == 0 || !fleet_.connected(caller))
    {
        caller = fleet_.connect(from.vm);
    }
    return caller;
}

proto::CallerRequest node_world::make(session& from, const std::string& route,
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

void node_world::send(session& from, const proto::CallerRequest& request,
                      const standin::fleet::answer_handler& done)
{
    const auto& key = world_keys[from.key];
    oracle_.note_request(request.request_id(), key.workspace);
    from.busy = true;
    fleet_.request(caller_of(from), presented(key), request,
                   [&from, done](const proto::CallerReply* reply)
                   {
                       from.busy = false;
                       done(reply);
                   });
}

void node_world::take_token(session& from, const proto::CallerReply& reply)
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

void node_world::read(const command& c)
{
    auto& from = free_session(c);
    if (from.busy)
    {
        return;
    }
    const std::string database = c.b % 5 == 0 ? "e" : "d";
    const std::string key = "k" + std::to_string(c.b % 3);
    auto request =
        make(from, (c.b % 2 == 0 ? "read-" : "aged-") + database, "GET " + key);
    if (c.b % 7 == 0) // the caller has lost its token
    {
        request.clear_token();
        request.set_session(from.name);
    }
    const auto expected = from.own[database][key];
    send(from, request,
         [this, &from, expected](const proto::CallerReply* reply)
         {
             if (reply == nullptr || reply->code() != 0)
             {
                 return;
             }
             for (const auto& mark : expected)
             {
                 if (reply->value().find(mark) == std::string::npos)
                 {
                     oracle_.fail("own write not seen by " + from.name + ": " +
                                  mark);
                 }
             }
             take_token(from, *reply);
         });
}

void node_world::write(const command& c)
{
    auto& from = free_session(c);
    if (from.busy)
    {
        return;
    }
    const std::string database = c.b % 5 == 0 ? "e" : "d";
    const std::string key = "k" + std::to_string(c.b % 3);
    auto request =
        make(from, (c.b % 2 == 0 ? "write-" : "book-") + database, "");
    const auto mark = request.request_id() + ";";
    request.set_statement("APPEND " + key + " " + mark);
    auto& record = oracle_.writes[request.request_id()];
    record.database = database;
    record.key = key;
    record.marks = {mark};
    from.last_write = request;
    send_write(from, request);
}

/// Reads a session's own write at another VM, soon after it was acknowledged.
void node_world::write_then_read(const command& c)
{
    auto& from = free_session(c);
    write(c);
    fleet_.run_for(milliseconds(15 + c.b % 20));
    if (from.transaction.empty())
    {
        from.vm = vm_of(c.a / 4);
    }
    read(c);
}

/// Cuts a VM off the databases while a write of its is under way; its answer
/// is lost, maybe after it ran.
void node_world::write_and_cut(const command& c)
{
    auto& from = free_session(c);
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

void node_world::send_write(session& from, const proto::CallerRequest& request)
{
    ++oracle_.writes[request.request_id()].calls;
    send(from, request,
         [this, &from, id = request.request_id()](
             const proto::CallerReply* reply) { on_write(from, id, reply); });
}

void node_world::on_write(session& from, const std::string& id,
                          const proto::CallerReply* reply)
{
    auto& record = oracle_.writes[id];
    if (reply == nullptr)
    {
        return;
    }
    record.refused += refuses(*reply) ? 1 : 0;
    if (reply->code() != 0)
    {
        return;
    }
    record.acknowledged = true;
    record.point = reply->token().seen().at(record.database);
    auto& own = from.own[record.database][record.key];
    own.insert(own.end(), record.marks.begin(), record.marks.end());
    take_token(from, *reply);
}

void node_world::repeat(const command& c)
{
    auto& from = free_session(c);
    if (from.busy || from.last_write.request_id().empty())
    {
        return;
    }
    from.vm = vm_of(c.b);
    from.last_write.mutable_token()->CopyFrom(from.token);
    send_write(from, from.last_write);
}

void node_world::move(const command& c)
{
    auto& from = free_session(c);
    if (from.transaction.empty())
    {
        from.vm = vm_of(c.b);
    }
}

void node_world::burst(const command& c)
{
    auto& from = free_session(c);
    const auto caller = fleet_.connect(from.vm);
    const auto& key = world_keys[from.key];
    for (std::uint32_t i = 0; i < 5 + c.b % 20; ++i)
    {
        const auto request = make(from, "read-d", "GET k0");
        oracle_.note_request(request.request_id(), key.workspace);
        fleet_.request(caller, presented(key), request,
                       [](const proto::CallerReply*) {});
    }
}

// ---- transactions ---------------------------------------------------------

void node_world::abandon(session& from)
{
    oracle_.never.insert(from.pending.marks.begin(), from.pending.marks.end());
    from.pending = {};
    from.transaction.clear();
}

void node_world::on_step(session& from, const std::string& mark,
                         const proto::CallerReply* reply)
{
    from.pending.marks.push_back(mark);
    if (reply == nullptr || reply->code() != 0)
    {
        abandon(from);
        return;
    }
    from.transaction = reply->transaction();
}

void node_world::begin(const command& c)
{
    auto& from = free_session(c);
    if (from.busy || !from.transaction.empty())
    {
        return;
    }
    from.database = c.b % 5 == 0 ? "e" : "d";
    from.pending = {};
    from.pending.database = from.database;
    from.pending.key = "k" + std::to_string(c.b % 3);
    auto request = make(from, "write-" + from.database, "");
    const auto mark = request.request_id() + ";";
    request.set_statement("APPEND " + from.pending.key + " " + mark);
    request.set_step(proto::TRANSACTION_BEGIN);
    send(from, request,
         [this, &from, mark](const proto::CallerReply* reply)
         { on_step(from, mark, reply); });
}

void node_world::go_on(const command& c)
{
    auto& from = free_session(c);
    if (from.busy || from.transaction.empty())
    {
        return;
    }
    auto request = make(from, "write-" + from.database, "");
    const auto mark = request.request_id() + ";";
    request.set_statement("APPEND " + from.pending.key + " " + mark);
    request.set_step(proto::TRANSACTION_CONTINUE);
    request.set_transaction(from.transaction);
    send(from, request,
         [this, &from, mark](const proto::CallerReply* reply)
         { on_step(from, mark, reply); });
}

void node_world::commit(const command& c)
{
    auto& from = free_session(c);
    if (from.busy || from.transaction.empty())
    {
        return;
    }
    auto request = make(from, "write-" + from.database, "");
    request.set_step(proto::TRANSACTION_COMMIT);
    request.set_transaction(from.transaction);
    oracle_.writes[request.request_id()] = from.pending;
    from.pending = {};
    from.transaction.clear();
    send_write(from, request);
}

void node_world::roll_back(const command& c)
{
    auto& from = free_session(c);
    if (from.busy || from.transaction.empty())
    {
        return;
    }
    auto request = make(from, "write-" + from.database, "");
    request.set_step(proto::TRANSACTION_ROLLBACK);
    request.set_transaction(from.transaction);
    abandon(from);
    send(from, request, [](const proto::CallerReply*) {});
}

// ---- end ------------------------------------------------------------------

void node_world::finish()
{
    heal_all();
    fleet_.run_for(healing);
    for (const auto& vm : vms)
    {
        if (fleet_.running(vm) &&
            fleet_.decisions(vm)->current_metrics(fleet_.now()).draining)
        {
            oracle_.fail("drain has not finished at " + vm);
        }
    }
    heal_all(); // starts those that have drained
    fleet_.run_for(settling);
    check();
    check_service();
    check();
    oracle_.check_logs();
    check();
}

/// Every VM of a healed fleet answers, and serves what it is sent.
void node_world::check_service()
{
    for (auto& from : sessions_)
    {
        if (from.busy)
        {
            oracle_.fail("a call was never answered to " + from.name);
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
            oracle_.fail("no service after healing at " + from.vm);
        }
        read({0, i, 6});
        fleet_.run_for(milliseconds(500));
    }
}

} // namespace tanagerhoist::fuzz
