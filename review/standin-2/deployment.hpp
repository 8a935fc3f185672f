#ifndef TANAGERHOIST_REVIEW_DEPLOYMENT_HPP
#define TANAGERHOIST_REVIEW_DEPLOYMENT_HPP

#include "database.hpp"
#include "fleet.hpp"
#include "session.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerhoist::review
{

constexpr const char* data_centre = "ie-west-a";

/// A tenant of the operator's configuration.
struct tenant
{
    std::string name;
    std::string key;
    double rate = 0; ///< operations per second
    double burst = 0;
};

/// What differs between deployments of the cases.
struct deployment_options
{
    std::size_t daemons = 3;
    std::size_t groups = 3;
    std::vector<tenant> tenants;
    milliseconds work{33};      ///< of a statement at a server
    milliseconds lag{20};       ///< of replicas
    milliseconds timeout{1000}; ///< of the routes
    milliseconds staleness{1500};
    std::string type = "bounded_staleness"; ///< of the routes
};

/// A small deployment in one data centre: store, servers, daemons, balancer.
/// The database of group number i is "dbI".
class deployment
{
public:
    deployment(const deployment_options& options, const std::string& folder,
               const std::string& record_file);

    asio::io_context& context() { return context_; }
    record& events() { return events_; }
    daemon& vm(std::size_t index) { return *daemons_.at(index); }
    const balancer& ingress() const { return *balancer_; }

    /// All statements that servers have begun to run.
    const std::vector<run>& runs() const { return runs_; }

    /// Whether a server has begun to run the statement.
    bool has_run(const std::string& id) const { return by_id_.count(id) != 0; }

    /// The statement's first run; it must have run.
    const run& run_of(const std::string& id) const
    {
        return runs_.at(by_id_.at(id));
    }

    /// Publishes a version of the configuration in which a database is served
    /// by another group.
    void move_route(std::size_t database, std::size_t group);

    /// Changes how much later than the primary a server of a group applies.
    void set_lag(std::size_t group, std::size_t server, milliseconds lag);

    /// Waits until all daemons are in rotation.
    /// @return false if they are not in time
    bool wait_until_ready(const asio::yield_context& yield);

    void pause(milliseconds time, const asio::yield_context& yield);

private:
    void publish();

    deployment_options options_;
    std::vector<std::size_t> group_of_; ///< by number of the database
    std::uint64_t version_ = 0;         ///< of the configuration
    asio::io_context context_;
    record events_;
    platform platform_;
    std::vector<std::unique_ptr<database>> groups_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::unique_ptr<balancer> balancer_;
    std::vector<run> runs_;
    std::unordered_map<std::string, std::size_t> by_id_;
};

} // namespace tanagerhoist::review

#endif
