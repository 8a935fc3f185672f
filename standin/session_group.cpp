#include "standin/session_group.hpp"

#include <boost/json.hpp>

#include <sstream>
#include <utility>

namespace tanagerhoist::standin
{
namespace
{

constexpr unsigned slots = 5;

} // namespace

session_group::session_group(std::string name,
                             const std::vector<std::string>& servers)
    : name_(std::move(name)), newest_primary_(servers.front())
{
    for (const auto& server : servers)
    {
        members_[server];
    }
    newest_primary().primary = true;
    newest_primary().term = newest_term_;
}

session_group::member& session_group::newest_primary()
{
    return members_.at(newest_primary_);
}

std::string session_group::run(const std::string& server,
                               const std::string& command)
{
    auto& at = members_.at(server);
    std::istringstream words(command);
    std::string word;
    std::uint64_t term = 0;
    words >> word >> term;
    if (word == "DEMOTE")
    {
        at.primary = at.primary && at.term >= term;
    }
    else if (word == "PAUSE")
    {
        at.paused = term;
    }
    else if (word == "RESUME")
    {
        at.paused = 0;
    }
    else if (word != "STATUS")
    {
        return {};
    }
    return status(at);
}

std::string session_group::status(const member& of) const
{
    const auto term = of.primary ? of.term : newest_term_;
    std::ostringstream row;
    row << (of.primary ? "primary " : "replica ") << term << ' '
        << log_end_.term << '.' << log_end_.number << ' ' << of.paused
        << " 0 0 1"; // lag, busy slots and connections
    return row.str();
}

bool session_group::promote(const std::string& server)
{
    const auto found = members_.find(server);
    if (found == members_.end() || found->second.silent)
    {
        return false;
    }
    if (server != newest_primary_)
    {
        found->second.term = ++newest_term_;
        newest_primary_ = server;
    }
    found->second.primary = true;
    found->second.paused = 0;
    return true;
}

bool session_group::responds(const std::string& server) const
{
    return !members_.at(server).silent;
}

void session_group::drain_primary()
{
    newest_primary().draining = true;
}

void session_group::silence_primary()
{
    newest_primary().silent = true;
}

void session_group::recover()
{
    for (auto& [id, server] : members_)
    {
        server.draining = false;
        server.silent = false;
        server.primary = server.primary && id == newest_primary_;
    }
}

std::string session_group::entry(const std::string& server,
                                 const std::string& address) const
{
    const auto& at = members_.at(server);
    return boost::json::serialize(
        boost::json::object{{"backend", name_},
                            {"address", address},
                            {"zone", "a"},
                            {"slots", slots},
                            {"state", at.draining ? "draining" : "ready"},
                            {"dbRole", at.primary ? "primary" : "replica"},
                            {"born", 1}});
}

} // namespace tanagerhoist::standin
