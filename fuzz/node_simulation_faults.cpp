// Faults and settings changes of the state test of whole nodes.
#include "fuzz/node_simulation.hpp"

#include "tanagerhoist/decision/bundle.hpp"
#include "tanagerhoist/decision/publish_plan.hpp"
#include "tanagerhoist/decision/settings_rows.hpp"

namespace tanagerhoist::fuzz
{

namespace
{

constexpr milliseconds withdrawal_timeout{2000};

} // namespace

void node_simulation::kill_vm(const command& c)
{
    const auto vm = select_vm(c.a);
    fleet_.kill(vm);
    fleet_.run_for(milliseconds(c.b));
    fleet_.start(vm);
    oracle_.record_vm_start(vm);
}

void node_simulation::freeze_vm(const command& c)
{
    const auto vm = select_vm(c.a);
    if (fleet_.frozen(vm))
    {
        fleet_.resume(vm);
        return;
    }
    fleet_.freeze(vm);
}

void node_simulation::cut_vm(const command& c)
{
    const auto vm = select_vm(c.a);
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
        fleet_.cut(vm, select_server(c.b));
    }
}

void node_simulation::cut_replicas(const command& c)
{
    fleet_.group("d").isolate(select_server(c.a % 3 + 1).replace(0, 1, "d"));
    if (c.b % 2 == 0)
    {
        fleet_.group("e").isolate("e-a");
    }
}

void node_simulation::kill_server(const command& c)
{
    const auto server = select_server(c.a);
    const auto database = server.substr(0, 1);
    if (!fleet_.group(database).responds(server))
    {
        fleet_.restart_server(server);
        return;
    }
    fleet_.kill_server(server);
}

void node_simulation::platform_fault(const command& c)
{
    fleet_.service().set_down(c.a % 4 == 0);
    fleet_.service().set_delay(milliseconds(c.a % 4 == 1 ? c.b : 0));
    if (c.a % 4 == 2)
    {
        fleet_.service().lose_replies(1 + c.b % 3);
    }
}

void node_simulation::peer_faults(const command& c)
{
    standin::peer_faults faults;
    faults.lost_percent = c.a % 40;
    faults.repeated_percent = c.b % 40;
    faults.jitter = milliseconds(c.b % 300);
    fleet_.set_peer_faults(faults);
}

void node_simulation::drain_vm(const command& c)
{
    const auto vm = select_vm(c.a);
    if (!fleet_.running(vm))
    {
        fleet_.start(vm);
        oracle_.record_vm_start(vm);
        return;
    }
    fleet_.drain(vm);
}

void node_simulation::heal(const command& c)
{
    heal_all();
    fleet_.run_for(milliseconds(c.a));
}

void node_simulation::wait(const command& c)
{
    fleet_.run_for(milliseconds(c.a % 2 == 0 ? c.b : 4 * c.b));
}

void node_simulation::heal_all()
{
    fleet_.heal();
    fleet_.set_peer_faults({});
    set_lag({0, 1, 1});
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
            oracle_.record_vm_start(vm);
        }
    }
}

void node_simulation::set_lag(const command& c)
{
    fleet_.group("d").set_lag(milliseconds(c.a));
    fleet_.group("e").set_lag(milliseconds(c.b));
}

void node_simulation::record_settings_head()
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
        oracle_.record_settings(*settings);
    }
}

proto::Settings node_simulation::changed_settings(const command& c) const
{
    auto settings = oracle_.settings.at(head_);
    settings.mutable_workspace(1)->set_rate(c.a % 2 == 0 ? 40 : 80);
    settings.mutable_database(1)->set_leaving(c.b % 3 == 0 ? "yes" : "no");
    return settings;
}

void node_simulation::change_settings(const command& c)
{
    standin::publish(fleet_.service(), fleet_.now(), changed_settings(c), head_,
                     "p" + std::to_string(next_id_++));
    record_settings_head();
}

/// Marks a database as leaving while a request waits for its primary.
void node_simulation::decommission_while_waiting(const command& c)
{
    heal_all();
    fleet_.run_for(settle_time);
    for (const auto& server : fleet_.group("e").servers())
    {
        fleet_.kill_server(server);
    }
    write({0, c.a, 5 * c.b});
    fleet_.run_for(milliseconds(100));
    change_settings({0, c.a, 0});
    fleet_.run_for(milliseconds(1500));
    for (const auto& server : fleet_.group("e").servers())
    {
        fleet_.restart_server(server);
    }
    fleet_.run_for(milliseconds(1500));
}

/// Interleaves the steps of two publish requests based on the same version; at
/// most one may be accepted.
void node_simulation::publish_concurrently(const command& c)
{
    std::vector<publish_plan> plans;
    for (std::uint32_t i = 0; i < 2; ++i)
    {
        publish_request order;
        order.settings = changed_settings({0, c.a + i, c.b});
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
    record_settings_head();
    int accepted = 0;
    for (const auto& plan : plans)
    {
        accepted += plan.result().outcome == publish_outcome::published ? 1 : 0;
    }
    if (accepted > 1 || (accepted == 1 && head_ != before + 1))
    {
        oracle_.fail("accepted two publish requests based on the same version");
    }
}

/// Checks that a fleet without faults rejects a withdrawn key within
/// `withdrawal_timeout`, also on connections that are already open.
void node_simulation::withdraw_key(const command& /*c*/)
{
    heal_all();
    fleet_.run_for(settle_time);
    std::map<std::string, std::uint64_t> connected;
    for (const auto& vm : vms)
    {
        connected[vm] = fleet_.connect(vm);
        auto request = make_request(sessions_[0], "read-d", "GET k0");
        oracle_.record_request(request.request_id(), "w1");
        fleet_.request(connected[vm], credential_of(test_keys[2]), request,
                       [](const proto::CallerReply*) {});
    }
    fleet_.run_for(milliseconds(50));
    auto settings = oracle_.settings.at(head_);
    settings.mutable_key(2)->set_withdrawn("yes");
    standin::publish(fleet_.service(), fleet_.now(), settings, head_,
                     "p" + std::to_string(next_id_++));
    record_settings_head();
    fleet_.run_for(withdrawal_timeout);
    for (const auto& [vm, caller] : connected)
    {
        if (fleet_.running(vm) && fleet_.connected(caller))
        {
            oracle_.fail("caller with a withdrawn key still connected to " +
                         vm);
        }
    }
    check_key_is_rejected();
    settings = oracle_.settings.at(head_);
    settings.mutable_key(2)->set_withdrawn("no");
    standin::publish(fleet_.service(), fleet_.now(), settings, head_,
                     "p" + std::to_string(next_id_++));
    record_settings_head();
}

void node_simulation::check_key_is_rejected()
{
    for (const auto& vm : vms)
    {
        auto request = make_request(sessions_[0], "read-d", "GET k0");
        oracle_.record_request(request.request_id(), "w1");
        fleet_.request(fleet_.connect(vm), credential_of(test_keys[2]), request,
                       [this, vm](const proto::CallerReply* reply)
                       {
                           if (reply != nullptr && !had_no_effect(*reply))
                           {
                               oracle_.fail(
                                   "request with a withdrawn key served by " +
                                   vm);
                           }
                       });
    }
    fleet_.run_for(milliseconds(100));
}

} // namespace tanagerhoist::fuzz
