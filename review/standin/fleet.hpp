#ifndef TANAGERHOIST_REVIEW_STANDIN_FLEET_HPP
#define TANAGERHOIST_REVIEW_STANDIN_FLEET_HPP

#include "client.hpp"
#include "daemon.hpp"
#include "database_group.hpp"
#include "promotion_service.hpp"
#include "record.hpp"
#include "store.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace tanagerhoist::review
{

/// How a case ends; the exit codes of its run.sh.
enum class verdict
{
    held = 0,
    broken = 1,
    could_not_run = 2
};

/// What a case gets from its run.sh.
struct case_options
{
    std::string root;   ///< the checkout
    std::string folder; ///< the case's folder, for record.txt
    bool trouble = true;
};

/// Reads ROOT and FOLDER from the command line, TROUBLE from the environment.
case_options options_of(int count, char** values);

/// A small deployment on loopback addresses of its own: stand-ins of the store,
/// of the duty calls and of three groups of three servers, and the project's
/// daemons.
class fleet
{
public:
    static constexpr std::size_t group_count = 3;

    fleet(const case_options& options, std::size_t vms, server_times times,
          store::observer watch);
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Writes the first configuration and starts everything, but only the
    /// first `count` daemons.
    /// @return whether these are ready in time
    bool start(std::size_t count);

    /// Writes the next version of the configuration, as the operator does.
    /// @param removed database whose route is left out; empty: none
    void write_config(const std::string& removed = {});

    /// Starts clients that write a row five times a second, on a session of
    /// its own each time.
    /// @param count clients of each daemon
    void start_clients(std::size_t count);

    /// Ends everything that it started, and this process with the exit code.
    /// The stand-ins' threads still run then, so nothing is destroyed.
    [[noreturn]] void end(verdict result);

    /// The daemon that holds the coordinator lease; null if none does.
    daemon* coordinator();

    const case_options options;
    record lines;
    store platform;
    std::vector<std::unique_ptr<database_group>> groups;
    promotion_service promotions;
    std::vector<std::unique_ptr<daemon>> daemons;
    std::vector<listen_point> frontends;

private:
    void run_client(std::size_t vm, std::size_t number);

    std::vector<database_group*> group_pointers() const;

    std::string folder_; ///< temporary
    std::vector<listen_point> readiness_;
    std::uint64_t version_ = 0;
};

/// Key of a tenant, numbered from 0.
std::string key_of(std::size_t tenant);

/// Waits until the condition holds, at most this long.
bool wait_until(std::chrono::milliseconds limit,
                const std::function<bool()>& holds);

} // namespace tanagerhoist::review

#endif
