#ifndef TANAGERHOIST_TOOLS_DAEMON_SESSION_DAEMON_HPP
#define TANAGERHOIST_TOOLS_DAEMON_SESSION_DAEMON_HPP

#include "fleet_agent.hpp"
#include "session_transport.hpp"

#include "tanagerhoist/adapter/accept_errors.hpp"
#include "tanagerhoist/adapter/http_responder.hpp"
#include "tanagerhoist/adapter/json_log.hpp"
#include "tanagerhoist/adapter/loop_monitor.hpp"
#include "tanagerhoist/core/count_rise.hpp"
#include "tanagerhoist/session/drain_schedule.hpp"
#include "tanagerhoist/session/proxy.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace tanagerhoist
{

/// Daemon that serves sessions on client connections. Runs on one thread, whose
/// main fiber drives the sockets.
class session_daemon
{
public:
    /// @param file the settings file, reloaded on SIGHUP
    session_daemon(const proto::SessionDaemonSettings& settings,
                   std::string file);

    /// Serves until SIGTERM or SIGINT and the drain that follows. The process
    /// must then end without destroying this object: fibers that still wait
    /// for the store or a peer refer to it.
    void run();

private:
    void accept();
    void accept_later();
    void await_signal();
    void reload();
    void begin_drain();
    void tick();
    void schedule_tick(milliseconds wait);
    void end_if_drained(moment now);
    void await_last_answers();
    http_answer respond(const http_request& request);
    std::string metrics_text() const;
    std::uint64_t http_closed() const;
    void log_http_closed(moment now);
    std::map<std::string, const accept_errors*> failed_accepts() const;
    void log_failed_accepts(moment now);

    proto::SessionDaemonSettings settings_;
    std::string file_;
    boost::asio::io_context context_{1};
    std::function<moment()> now_;
    json_log lines_;
    loop_monitor monitor_;
    session_transport session_transport_;
    proxy proxy_;
    fleet_agent fleet_;
    boost::asio::ip::tcp::acceptor acceptor_;
    http_responder readiness_;
    http_responder peers_;
    std::unique_ptr<http_responder> metrics_;
    accept_errors failed_accepts_; ///< of sessions
    count_rise http_closed_rise_;
    std::map<std::string, count_rise> failed_accepts_rises_; ///< by port
    boost::asio::signal_set signals_;
    boost::asio::steady_timer timer_;
    boost::asio::steady_timer accept_timer_;
    moment tick_at_{};                    ///< when the next tick is due
    std::optional<drain_schedule> drain_; ///< once it has begun
    bool stopping_ = false;
    bool was_ready_ = false;
};

} // namespace tanagerhoist

#endif
