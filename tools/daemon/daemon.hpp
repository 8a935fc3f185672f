#ifndef TANAGERHOIST_TOOLS_DAEMON_DAEMON_HPP
#define TANAGERHOIST_TOOLS_DAEMON_DAEMON_HPP

#include "settings.pb.h"
#include "tanagerhoist/adapter/decision_loop.hpp"
#include "tanagerhoist/adapter/peer_link.hpp"
#include "tanagerhoist/adapter/settings_snapshot.hpp"
#include "worker.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <vector>

namespace tanagerhoist
{

/// Connects a node to its threads, sockets, peers and record, and performs its
/// actions.
class daemon_process
{
public:
    /// @param record receives inputs, actions and events
    /// @throws std::runtime_error or boost::system::system_error if a port
    ///   can't be opened
    daemon_process(const proto::DaemonSettings& settings, node_options options,
                   record_sink& record, metrics& counters);
    ~daemon_process();

    /// Serves until SIGTERM or SIGINT and the drain that follows.
    /// @return whether every request in flight was answered
    bool run();

private:
    using handler = void (daemon_process::*)(proto::Action&);
    static handler handler_of(proto::Action::BodyCase body);

    void post(proto::Input input);
    void perform(std::vector<proto::Action> actions);
    void answer_caller(proto::Action& action);
    void close_caller(proto::Action& action);
    void open_connection(proto::Action& action);
    void close_connection(proto::Action& action);
    void call_database(proto::Action& action);
    void call_platform(proto::Action& action);
    void send_peer(proto::Action& action);
    void use_settings(proto::Action& action);
    void drain_finished(proto::Action& action);

    void add_peers(const proto::PlatformReply& reply);
    remote_address address_of(const std::string& server) const;
    worker& worker_for(std::uint64_t handle);
    void accept();
    void await_signal();
    void begin_drain();
    void finish(bool clean);

    proto::DaemonSettings settings_;
    metrics& metrics_;
    settings_snapshot snapshot_;
    std::map<std::string, remote_address> servers_; ///< decision thread only
    bool draining_ = false;
    bool finished_ = false;
    bool clean_ = false;
    std::vector<std::unique_ptr<worker>> workers_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer drain_limit_;
    std::size_t next_worker_ = 0;
    decision_loop loop_;
    std::unique_ptr<peer_link> peers_;
};

} // namespace tanagerhoist

#endif
