#ifndef TANAGERHOIST_SESSION_ANSWER_NEWS_HPP
#define TANAGERHOIST_SESSION_ANSWER_NEWS_HPP

#include "fleet.pb.h"
#include "tanagerhoist/session/server_evidence.hpp"

#include <cstddef>
#include <map>
#include <string>

namespace tanagerhoist
{

/// Outcomes at this VM that have not been reported to the coordinator yet. A
/// report that is lost takes its news with it.
class answer_news
{
public:
    /// Servers in one report. Those where statements failed go first, the
    /// others in turn.
    static constexpr std::size_t most_servers = 16;

    void add(const std::string& server, server_outcome outcome);

    /// @param times multiple of what such answers usually take in the group
    void add_slowness(const std::string& server, double times);

    void forget(const std::string& server) { news_.erase(server); }

    /// Moves news into a report.
    void describe(proto::VmReport& report);

private:
    void move(const std::string& server, proto::VmReport& report);

    std::map<std::string, proto::ServerNews> news_; ///< by server
    std::string next_; ///< server that the next report begins with
};

} // namespace tanagerhoist

#endif
