// Commands of the state test of the whole decision layer.
#include "fuzz/node_world.hpp"

#include "tanagerhoist/core/log_point.hpp"
#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/decision/bundle.hpp"
#include "tanagerhoist/decision/publish_plan.hpp"
#include "tanagerhoist/decision/settings_rows.hpp"

#include <rapidcheck.h>

namespace tanagerhoist::fuzz
{

namespace
{

constexpr milliseconds settling{3000};
constexpr milliseconds healing{15'000};
constexpr milliseconds withdrawal_limit{2000};
constexpr std::size_t session_count = 4;

const std::vector<std::string> vms{"vm1", "vm2", "vm3"};

standin::fleet_options world_options()
{
    standin::fleet_options options;
    options.vms = {{"vm1", "a"}, {"vm2", "b"}, {"vm3", "c"}};
    options.settings = world_settings();
    return options;
}

bool refuses(const proto::CallerReply& reply)
{
    const auto end = info(static_cast<result_code>(reply.code())).outcome;
    return end == outcome::not_run || end == outcome::caller_error;
}

} // namespace

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
    return request;
}

void node_world::send(session& from, const proto::CallerRequest& request,
                      standin::fleet::answer_handler done)
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

// ---- faults ---------------------------------------------------------------

void node_world::kill_vm(const command& c)
{
    const auto vm = vm_of(c.a);
    fleet_.kill(vm);
    fleet_.run_for(milliseconds(c.b));
    fleet_.start(vm);
    oracle_.note_started(vm);
}

void node_world::freeze_vm(const command& c)
{
    const auto vm = vm_of(c.a);
    if (fleet_.frozen(vm))
    {
        fleet_.resume(vm);
        return;
    }
    fleet_.freeze(vm);
}

void node_world::cut_vm(const command& c)
{
    const auto vm = vm_of(c.a);
    if (c.b % 4 == 0)
    {
        fleet_.cut(vm, "platform");
    }
    for (const auto& other : vms)
    {
        if (c.b % 4 == 1 && other != vm)
        {
            fleet_.cut(vm, other);
        }
    }
    if (c.b % 4 >= 2)
    {
        fleet_.cut(vm, server_of(c.b));
    }
}

void node_world::cut_replicas(const command& c)
{
    fleet_.group("d").isolate(server_of(c.a % 3 + 1).replace(0, 1, "d"));
    if (c.b % 2 == 0)
    {
        fleet_.group("e").isolate("e-a");
    }
}

void node_world::kill_server(const command& c)
{
    const auto server = server_of(c.a);
    const auto database = server.substr(0, 1);
    if (!fleet_.group(database).responds(server))
    {
        fleet_.restart_server(server);
        return;
    }
    fleet_.kill_server(server);
}

void node_world::platform_fault(const command& c)
{
    fleet_.service().set_down(c.a % 4 == 0);
    fleet_.service().set_delay(milliseconds(c.a % 4 == 1 ? c.b : 0));
    if (c.a % 4 == 2)
    {
        fleet_.service().lose_replies(1 + c.b % 3);
    }
}

void node_world::peer_faults(const command& c)
{
    standin::peer_faults faults;
    faults.lost_percent = c.a % 40;
    faults.repeated_percent = c.b % 40;
    faults.jitter = milliseconds(c.b % 300);
    fleet_.set_peer_faults(faults);
}

void node_world::drain_vm(const command& c)
{
    const auto vm = vm_of(c.a);
    if (!fleet_.running(vm))
    {
        fleet_.start(vm);
        oracle_.note_started(vm);
        return;
    }
    fleet_.drain(vm);
}

void node_world::heal(const command& c)
{
    heal_all();
    fleet_.run_for(milliseconds(c.a));
}

void node_world::wait(const command& c)
{
    fleet_.run_for(milliseconds(c.a % 2 == 0 ? c.b : 4 * c.b));
}

void node_world::heal_all()
{
    fleet_.heal();
    fleet_.set_peer_faults({});
    fleet_.service().set_down(false);
    fleet_.service().set_delay(milliseconds(0));
    fleet_.service().lose_replies(0);
    for (const std::string database : {"d", "e"})
    {
        for (const auto& server : fleet_.group(database).servers())
        {
            if (!fleet_.group(database).responds(server))
            {
                fleet_.restart_server(server);
            }
        }
    }
    for (const auto& vm : vms)
    {
        if (fleet_.frozen(vm))
        {
            fleet_.resume(vm);
        }
        if (!fleet_.running(vm))
        {
            fleet_.start(vm);
            oracle_.note_started(vm);
        }
    }
}

// ---- settings -------------------------------------------------------------

void node_world::note_head()
{
    const auto dump = fleet_.service().dump();
    const auto row = dump.row().find(settings_head_row);
    proto::SettingsHead head;
    if (row == dump.row().end() || !head.ParseFromString(row->second.value()))
    {
        return;
    }
    head_ = head.version();
    if (auto settings =
            open_bundle(head.bundle(), dump.object().at(head.bundle())))
    {
        oracle_.note_settings(*settings);
    }
}

proto::Settings node_world::changed(const command& c) const
{
    auto settings = oracle_.settings.at(head_);
    settings.mutable_workspace(1)->set_rate(c.a % 2 == 0 ? 40 : 80);
    settings.mutable_database(1)->set_leaving(c.b % 3 == 0 ? "yes" : "no");
    return settings;
}

void node_world::change_settings(const command& c)
{
    standin::publish(fleet_.service(), fleet_.now(), changed(c), head_,
                     "p" + std::to_string(next_id_++));
    note_head();
}

void node_world::publish_twice(const command& c)
{
    std::vector<publish_plan> plans;
    for (std::uint32_t i = 0; i < 2; ++i)
    {
        publish_order order;
        order.settings = changed({0, c.a + i, c.b});
        order.from_version = head_;
        order.publish_id = "p" + std::to_string(next_id_++);
        plans.emplace_back(std::move(order));
    }
    const auto before = head_;
    for (std::uint32_t turn = c.a; plans[0].next() || plans[1].next();
         turn = turn / 2 + c.b)
    {
        auto& plan =
            plans[turn % 2].next() ? plans[turn % 2] : plans[1 - turn % 2];
        const auto reply = fleet_.service().handle(fleet_.now(), *plan.next());
        reply ? plan.on_reply(*reply) : plan.on_failure(true);
    }
    note_head();
    int accepted = 0;
    for (const auto& plan : plans)
    {
        accepted += plan.result().outcome == publish_outcome::published ? 1 : 0;
    }
    if (accepted > 1 || (accepted == 1 && head_ != before + 1))
    {
        oracle_.fail("two publishes from one version were both accepted");
    }
}

/// In a healthy fleet a withdrawn key stops working soon, also for callers
/// that are connected.
void node_world::withdraw(const command& /*c*/)
{
    heal_all();
    fleet_.run_for(settling);
    std::map<std::string, std::uint64_t> connected;
    for (const auto& vm : vms)
    {
        connected[vm] = fleet_.connect(vm);
        auto request = make(sessions_[0], "read-d", "GET k0");
        oracle_.note_request(request.request_id(), "w1");
        fleet_.request(connected[vm], presented(world_keys[2]), request,
                       [](const proto::CallerReply*) {});
    }
    fleet_.run_for(milliseconds(50));
    auto settings = oracle_.settings.at(head_);
    settings.mutable_key(2)->set_withdrawn("yes");
    standin::publish(fleet_.service(), fleet_.now(), settings, head_,
                     "p" + std::to_string(next_id_++));
    note_head();
    fleet_.run_for(withdrawal_limit);
    for (const auto& [vm, caller] : connected)
    {
        if (fleet_.running(vm) && fleet_.connected(caller))
        {
            oracle_.fail("caller of a withdrawn key still connected to " + vm);
        }
    }
    refuse_everywhere();
    settings = oracle_.settings.at(head_);
    settings.mutable_key(2)->set_withdrawn("no");
    standin::publish(fleet_.service(), fleet_.now(), settings, head_,
                     "p" + std::to_string(next_id_++));
    note_head();
}

void node_world::refuse_everywhere()
{
    for (const auto& vm : vms)
    {
        auto request = make(sessions_[0], "read-d", "GET k0");
        oracle_.note_request(request.request_id(), "w1");
        fleet_.request(fleet_.connect(vm), presented(world_keys[2]), request,
                       [this, vm](const proto::CallerReply* reply)
                       {
                           if (reply != nullptr && !refuses(*reply))
                           {
                               oracle_.fail("withdrawn key served by " + vm);
                           }
                       });
    }
    fleet_.run_for(milliseconds(100));
}

// ---- end ------------------------------------------------------------------

void node_world::finish()
{
    heal_all();
    fleet_.run_for(healing);
    for (const auto& vm : vms)
    {
        if (fleet_.running(vm) &&
            fleet_.decisions(vm)->figures(fleet_.now()).draining)
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
