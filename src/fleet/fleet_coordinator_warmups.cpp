#include "tanagerhoist/fleet/fleet_coordinator.hpp"

// Permits for servers in their warm-up.
namespace tanagerhoist
{

void fleet_coordinator::add_warmup_permits(moment now,
                                           const session_settings& settings,
                                           const server_list& servers,
                                           const std::string& vm,
                                           proto::FleetView& view)
{
    const auto it = vms_.find(vm);
    if (it == vms_.end())
    {
        return;
    }
    auto& report = it->second.report;
    for (const auto& demand : report.warmup_demand())
    {
        const auto server = servers.find(demand.server());
        if (server == servers.end())
        {
            continue;
        }
        const auto group = settings.groups.find(server->second.group);
        if (group == settings.groups.end())
        {
            continue;
        }
        const auto requests =
            warmup_ledger_.grant(now, demand.server(),
                                 warmup_limit(group->second, warmup_tolerance_),
                                 vm, demand.requests());
        if (requests > 0)
        {
            auto& permit = *view.add_warmup_permits();
            permit.set_server(demand.server());
            permit.set_requests(requests);
            permit.set_life(report.life());
        }
    }
    report.clear_warmup_demand(); // must not be granted twice
}

} // namespace tanagerhoist
