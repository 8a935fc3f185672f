// Steps and final checks of the state test of whole nodes.
#include "fuzz/node_simulation.hpp"

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
