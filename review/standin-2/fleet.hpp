#ifndef TANAGERHOIST_REVIEW_FLEET_HPP
#define TANAGERHOIST_REVIEW_FLEET_HPP

#include "store.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace tanagerhoist::review
{

/// Settings of a daemon, by the placeholder of deploy/daemon.ini.
using placeholders = std::map<std::string, std::string>;

/// A daemon of the deployment: a process that is started again after its end.
class daemon
{
public:
    daemon(asio::io_context& context, record& events, std::string folder,
           placeholders settings);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    void start();
    void send_signal(int number);

    const std::string& name() const { return name_; }
    std::uint16_t sessions_port() const { return sessions_port_; }
    std::uint16_t readiness_port() const { return readiness_port_; }
    bool runs() const { return process_ != 0; }

private:
    void reap();

    asio::io_context& context_;
    record& events_;
    std::string folder_;
    placeholders settings_;
    std::string name_;
    std::uint16_t sessions_port_;
    std::uint16_t readiness_port_;
    std::uint16_t peer_port_;
    int process_ = 0;
};

/// The platform's ingress for one data centre: probes each daemon once a
/// second, and chooses one for each new connection.
class balancer
{
public:
    balancer(asio::io_context& context, record& events,
             const std::vector<daemon*>& daemons);

    /// Whether all daemons are in rotation.
    bool are_all_ready() const;

    /// The daemon for a client's new connection.
    /// @param hash of the client
    const daemon& choose(std::size_t hash) const;

private:
    struct target
    {
        daemon* at;
        unsigned misses = 2;
    };

    void probe_all();
    void probe(target& of, const asio::yield_context& yield);

    asio::io_context& context_;
    record& events_;
    std::vector<target> targets_;
};

} // namespace tanagerhoist::review

#endif
