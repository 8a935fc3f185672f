#ifndef TANAGERHOIST_STANDIN_SESSION_GROUP_HPP
#define TANAGERHOIST_STANDIN_SESSION_GROUP_HPP

#include "tanagerhoist/session/log_position.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

/// Roles and terms of a group's backend servers, without sockets or clock. The
/// first server starts as the primary of term 1. All logs are equal.
class session_group
{
public:
    /// @param name name of the group; it has at least one server
    session_group(std::string name, const std::vector<std::string>& servers);

    const std::string& name() const { return name_; }
    const log_position& log_end() const { return log_end_; }

    /// Runs a control command.
    /// @return the server's status as a row; empty if it knows no such command
    std::string run(const std::string& server, const std::string& command);

    /// Makes a server the primary of the next term.
    /// @return false if there is no such server, or it does not respond
    bool promote(const std::string& server);

    /// Whether a server answers its connections.
    bool responds(const std::string& server) const;

    /// Reports the newest primary as draining.
    void drain_primary();

    /// Makes the newest primary silent.
    void silence_primary();

    /// All servers respond, and none drains. A primary of an older term is a
    /// replica.
    void recover();

    /// Value of a server's row in the store.
    std::string entry(const std::string& server,
                      const std::string& address) const;

private:
    struct member
    {
        bool primary = false;
        bool draining = false;
        bool silent = false;
        std::uint64_t term = 0;   ///< as a primary
        std::uint64_t paused = 0; ///< term until which it receives nothing
    };

    std::string status(const member& of) const;
    member& newest_primary();

    std::string name_;
    std::map<std::string, member> members_;
    std::string newest_primary_;
    std::uint64_t newest_term_ = 1;
    log_position log_end_{1, 1};
};

} // namespace tanagerhoist::standin

#endif
