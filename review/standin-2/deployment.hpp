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
    milliseconds work{33};       ///< of a statement at a server
    milliseconds timeout{1000};  ///< of the routes
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

    /// When a server began to run the statement.
    moment begun(const std::string& id) const
    {
        return runs_.at(by_id_.at(id)).at;
    }

    /// Waits until all daemons are in rotation.
    /// @return false if they are not in time
    bool wait_until_ready(const asio::yield_context& yield);

    void pause(milliseconds time, const asio::yield_context& yield);

private:
    void publish(const deployment_options& options);

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
