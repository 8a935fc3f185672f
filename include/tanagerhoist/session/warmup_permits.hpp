#ifndef TANAGERHOIST_SESSION_WARMUP_PERMITS_HPP
#define TANAGERHOIST_SESSION_WARMUP_PERMITS_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/session_settings.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerhoist
{

/// Validity of a permit, counted from the report that asked for it. Longer than
/// the interval of reports and the way of a view, so that a VM which always has
/// requests always has permits.
constexpr milliseconds permit_lifetime{600};

/// What the requests to a server in its warm-up may exceed the configured rate
/// by, in any second.
struct warmup_tolerance
{
    double overage = 1; ///< factor
    double slack = 0;   ///< requests
};

/// Requests that all VMs together may send to a server in its warm-up in any
/// second, without those of the coordinator's own status queries.
std::uint64_t warmup_limit(const session_group& group,
                           const warmup_tolerance& tolerance);

/// Requests that this VM may send to servers in their warm-up, and how many it
/// would send. A VM without news of the coordinator has no permits and sends
/// nothing there, since an even share of the rate is less than one request.
class warmup_permits
{
public:
    using permits = google::protobuf::RepeatedPtrField<proto::WarmupPermit>;

    /// Adds requests that may be sent until `expires`.
    void add(const std::string& server, std::uint64_t requests, moment expires);

    /// Requests that may be sent to the server now.
    std::uint64_t available(moment now, const std::string& server) const;

    /// Uses a permit, the one that lapses first.
    /// @return false if there is none
    bool take(moment now, const std::string& server);

    /// Notes a request that would be sent to the server.
    void note_demand(const std::string& server) { ++demand_[server]; }

    /// Adds the requests noted since the last report to this one.
    void describe(moment now, proto::VmReport& report);

private:
    using stock = std::map<moment, std::uint64_t>; ///< requests by expiry

    std::map<std::string, stock> stocks_;         ///< by server
    std::map<std::string, std::uint64_t> demand_; ///< by server
};

} // namespace tanagerhoist

#endif
