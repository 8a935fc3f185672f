#ifndef TANAGERHOIST_REVIEW_STANDIN_DAEMON_HPP
#define TANAGERHOIST_REVIEW_STANDIN_DAEMON_HPP

#include "record.hpp"

#include <map>
#include <string>

#include <sys/types.h>

namespace tanagerhoist::review
{

/// Values of the placeholders in deploy/daemon.ini.
using placeholders = std::map<std::string, std::string>;

/// A process of the project's daemon, started as deploy/system.toml says, with
/// settings made from deploy/daemon.ini.
class daemon
{
public:
    /// @param root the checkout
    /// @param folder temporary folder for its settings and log
    daemon(const std::string& root, const std::string& folder,
           const placeholders& values, record& lines);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    const std::string& name() const { return name_; }
    const std::string& log_file() const { return log_; }

    void start();
    void send_signal(int number);

    /// Kills the process and waits for it.
    void kill();

    /// Whether the process has ended by itself since it was started; records
    /// how.
    bool has_ended();

private:
    std::string root_;
    std::string name_;
    std::string settings_;
    std::string log_;
    record& record_;
    pid_t process_ = 0; ///< 0: not running
};

} // namespace tanagerhoist::review

#endif
