#ifndef TANAGERHOIST_FLEET_SERVER_STANDINGS_HPP
#define TANAGERHOIST_FLEET_SERVER_STANDINGS_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/backend_server.hpp"
#include "tanagerhoist/session/server_evidence.hpp"
#include "tanagerhoist/session/server_pace.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// A server's share of its usual work that has changed by half or more.
struct pace_change
{
    std::string server;
    double share = 1;
};

/// The coordinator's sum of what all VMs saw of the servers' answers. One VM of
/// a large fleet has too few answers of a server to tell a slow or failing one.
class server_standings
{
public:
    /// Servers in one view, the most deviating first.
    static constexpr std::size_t most_told = 32;

    /// @param paces whether servers that start or recover get less at first
    explicit server_standings(bool paces = false) : paces_(paces) {}

    void reset() { *this = server_standings(paces_); }

    /// Adds what a VM reports. A report must not be applied twice.
    void apply(moment now, const proto::VmReport& report);

    /// Adds the servers that answer more slowly than is usual or fail a part of
    /// what they get. One that a view does not name does neither.
    /// @param servers all servers; those of a term's first call don't count as
    ///   started
    void add_to(moment now, const server_list& servers, proto::FleetView& view);

    /// Changes since the last call, to be logged.
    std::vector<pace_change> take_pace_changes();

private:
    struct standing
    {
        server_evidence evidence;
        moment heard{};
        server_pace pace;
        pace_window window; ///< since `paced_`
        double logged_share = 1;
    };

    void judge(moment now, const server_list& servers);
    void pace(moment now, const server_list& servers);
    void begin_started(moment now, const server_list& servers);
    double share_of(const standing& server) const;

    std::map<std::string, standing> servers_;
    std::vector<proto::ServerStanding> told_; ///< as judged last
    moment judged_{};
    bool paces_;
    bool knows_servers_ = false;
    std::map<std::string, std::uint64_t> born_ms_; ///< by server
    moment paced_{};
    std::vector<pace_change> changes_;
};

} // namespace tanagerhoist

#endif
