#include "session_daemon.hpp"

#include "platform/ready_probe.hpp"
#include "tanagerhoist/adapter/boot_clock.hpp"
#include "tanagerhoist/adapter/bound_socket.hpp"
#include "tanagerhoist/adapter/fiber_await.hpp"
#include "tanagerhoist/adapter/fiber_loop.hpp"
#include "tanagerhoist/core/source_id.hpp"
#include "tanagerhoist/session/resource_parts.hpp"
#include "tanagerhoist/settings/ini_reader.hpp"

#include <boost/fiber/fiber.hpp>
#include <boost/leaf.hpp>

#include <csignal>
#include <cstdlib>
#include <random>
#include <utility>

namespace tanagerhoist
{
namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr milliseconds idle_tick{200};
constexpr milliseconds accept_pause{100};
constexpr milliseconds unsent_check_pause{10};
constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_not_found = 404;

std::function<moment()> make_clock()
{
    const auto start = boot_clock::now();
    return [start]
    {
        return moment(std::chrono::duration_cast<microseconds>(
                          boot_clock::now() - start) +
                      std::chrono::hours(1)); // keeps earlier moments positive
    };
}

std::uint64_t random_life()
{
    std::random_device source;
    return (static_cast<std::uint64_t>(source()) << 32U) | source();
}

limit_tolerance tolerance_of(const proto::SessionDaemonSettings& settings)
{
    const auto& sessions = settings.sessions();
    limit_tolerance tolerance;
    tolerance.window = std::chrono::seconds(sessions.quota_window_s());
    tolerance.slack = static_cast<double>(sessions.quota_slack());
    // An absent overage is 0.
    tolerance.overage = std::strtod(sessions.quota_overage().c_str(), nullptr);
    return tolerance;
}

/// Regions by data centre; this VM's own also if it has no section.
region_map regions_of(const proto::SessionDaemonSettings& settings)
{
    std::map<std::string, std::string> regions;
    for (const auto& data_centre : settings.data_centre())
    {
        regions.emplace(data_centre.name(), data_centre.region());
    }
    if (!settings.vm().region().empty())
    {
        regions.emplace(settings.vm().data_centre(), settings.vm().region());
    }
    return region_map(std::move(regions));
}

/// Bytes that the process may use.
std::size_t memory_of(const proto::SessionSettings& settings)
{
    return settings.memory_mb() << 20U;
}

client_limits limits_of(const proto::SessionSettings& settings)
{
    client_limits limits{};
    limits.memory = memory_of(settings);
    limits.descriptors = settings.max_fds();
    limits.timeout = std::chrono::seconds(settings.client_timeout_s());
    return limits;
}

tcp::endpoint endpoint_of(const std::string& text)
{
    const auto where = split_endpoint(text);
    return {asio::ip::make_address(where.address), where.port};
}

tcp::endpoint with_port(const std::string& text, std::uint64_t port)
{
    return {endpoint_of(text).address(), static_cast<std::uint16_t>(port)};
}

} // namespace

session_daemon::session_daemon(const proto::SessionDaemonSettings& settings,
                               std::string file)
    : settings_(settings),
      file_(std::move(file)),
      now_(make_clock()),
      lines_(settings.vm().name(), settings.sessions().log_lines_per_s(), now_),
      monitor_(lines_, now_),
      session_transport_(context_, monitor_, lines_,
                         limits_of(settings.sessions()), now_),
      proxy_(settings.vm().data_centre(), regions_of(settings),
             workspace_limits(tolerance_of(settings)), session_transport_,
             lines_, most_state_at_servers(memory_of(settings.sessions())),
             settings.sessions().pace() == "true" ? cost_by_evidence
                                                  : cost_by_own_answers),
      fleet_(context_, settings, random_life(), tolerance_of(settings), proxy_,
             lines_, monitor_, now_),
      acceptor_(listen_on(context_, endpoint_of(settings.sessions().listen()))),
      readiness_(
          context_, endpoint_of(settings.sessions().readiness()),
          most_http_connections(settings.sessions().max_fds()),
          [this](const http_request& request) { return respond(request); },
          now_),
      peers_(
          context_,
          with_port(settings.sessions().listen(),
                    settings.sessions().peer_port()),
          most_http_connections(settings.sessions().max_fds()),
          [this](const http_request& request) { return respond(request); },
          now_),
      signals_(context_, SIGTERM, SIGINT, SIGHUP),
      timer_(context_),
      accept_timer_(context_)
{
    session_transport_.attach(proxy_,
                              [this] { fleet_.request_grants_if_needed(); });
    monitor_.watch(
        [this]
        {
            return loop_queues{proxy_.held(), proxy_.waiting(),
                               proxy_.sessions(), fleet_.since_renewal()};
        });
    if (settings.sessions().metrics_port() != 0)
    {
        metrics_ = std::make_unique<http_responder>(
            context_,
            with_port(settings.sessions().listen(),
                      settings.sessions().metrics_port()),
            most_http_connections(settings.sessions().max_fds()),
            [this](const http_request& request) { return respond(request); },
            now_);
    }
}

void session_daemon::run()
{
    std::signal(SIGPIPE, SIG_IGN);
    lines_.write(log_level::change, "start",
                 {{"version", TANAGERHOIST_VERSION},
                  {"source_id", std::string(source_id())},
                  {"data_centre", settings_.vm().data_centre()},
                  {"listen", settings_.sessions().listen()}});
    fleet_.start();
    accept();
    await_signal();
    tick();
    run_fiber_loop(context_);
    lines_.write(log_level::change, "stop",
                 {{"sessions", std::to_string(session_transport_.clients())}});
    lines_.close();
}

void session_daemon::accept()
{
    acceptor_.async_accept(
        [this](boost::system::error_code error, tcp::socket socket)
        {
            if (error == asio::error::operation_aborted)
            {
                return;
            }
            if (error)
            {
                failed_accepts_.add(error);
                accept_later();
                return;
            }
            session_transport_.accept(std::move(socket));
            accept();
        });
}

void session_daemon::accept_later()
{
    accept_timer_.expires_after(accept_pause);
    accept_timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                accept();
            }
        });
}

void session_daemon::await_signal()
{
    signals_.async_wait(
        [this](boost::system::error_code error, int number)
        {
            if (error)
            {
                return;
            }
            if (number == SIGHUP)
            {
                reload();
            }
            else
            {
                begin_drain();
            }
            await_signal();
        });
}

/// Reloads the settings that can change at run time; others need a restart.
void session_daemon::reload()
{
    namespace leaf = boost::leaf;
    leaf::try_handle_all(
        [this]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(read, read_session_daemon_settings(file_));
            settings_.mutable_sessions()->set_grace_s(
                read.sessions().grace_s());
            lines_.write(log_level::change, "reload", {{"result", "done"}});
            return {};
        },
        [this](const settings_errors& errors)
        {
            lines_.write(log_level::change, "reload",
                         {{"result", "kept the previous settings"},
                          {"cause", to_text(errors.all.front())}});
        },
        [this]
        {
            lines_.write(log_level::change, "reload",
                         {{"result", "kept the previous settings"}});
        });
}

void session_daemon::begin_drain()
{
    if (drain_)
    {
        return;
    }
    const milliseconds grace(
        std::chrono::seconds(settings_.sessions().grace_s()));
    drain_.emplace(now_(), grace);
    proxy_.begin_drain(*drain_);
    lines_.write(log_level::change, "drain",
                 {{"sessions", std::to_string(session_transport_.clients())},
                  {"grace_ms", std::to_string(grace.count())}});
}

void session_daemon::tick()
{
    const auto now = now_();
    {
        const loop_monitor::measurement measured(monitor_, loop_work::tick);
        proxy_.tick(now);
        session_transport_.tick(now);
        log_http_closed(now);
        log_failed_accepts(now);
    }
    fleet_.request_grants_if_needed();
    const bool ready = proxy_.is_ready(now);
    if (ready != was_ready_)
    {
        was_ready_ = ready;
        lines_.write(log_level::change, ready ? "ready" : "not_ready", {});
    }
    end_if_drained(now);
    schedule_tick(proxy_.has_work() || drain_
                      ? milliseconds(proxy::tick_interval)
                      : idle_tick);
}

void session_daemon::schedule_tick(milliseconds wait)
{
    tick_at_ = now_() + wait;
    timer_.expires_after(wait);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                monitor_.timer_runs(tick_at_);
                tick();
            }
        });
}

void session_daemon::end_if_drained(moment now)
{
    const bool has_clients = session_transport_.clients() != 0;
    if (stopping_ || !drain_ || !drain_->is_over(now, has_clients))
    {
        return;
    }
    stopping_ = true;
    acceptor_.close();
    accept_timer_.cancel();
    boost::fibers::fiber(boost::fibers::launch::post,
                         [this]
                         {
                             fleet_.leave();
                             await_last_answers();
                             context_.stop();
                         })
        .detach();
}

/// Waits until clients have accepted what was answered, as long as there is
/// time for it.
void session_daemon::await_last_answers()
{
    while (session_transport_.has_unsent() && now_() < drain_->ends())
    {
        asio::steady_timer timer(context_, unsent_check_pause);
        await([&timer](auto handler) { timer.async_wait(std::move(handler)); });
    }
}

http_answer session_daemon::respond(const http_request& request)
{
    const auto path = request.target.substr(0, request.target.find('?'));
    if (path == "/metrics")
    {
        return {status_ok, "text/plain; version=0.0.4", metrics_text()};
    }
    if (path == "/settings")
    {
        return {status_ok, "application/json", fleet_.config_text()};
    }
    if (path == platform::ready_path)
    {
        const bool ready = proxy_.is_ready(now_());
        return {ready ? status_ok : status_unavailable, "text/plain",
                ready ? "ready\n" : "not ready\n"};
    }
    return {status_not_found, "text/plain", ""};
}

} // namespace tanagerhoist
