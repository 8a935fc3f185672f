#include "daemon.hpp"

#include "tanagerhoist/adapter/bound_socket.hpp"

#include <spdlog/spdlog.h>

#include <csignal>
#include <utility>

namespace tanagerhoist
{
namespace
{

constexpr milliseconds final_answer_timeout{
    2000}; // for writing answers after the drain

std::vector<std::unique_ptr<worker>>
make_workers(std::uint64_t count, const settings_snapshot& settings,
             metrics& counters, const caller_frontend::input_sink& inputs)
{
    std::vector<std::unique_ptr<worker>> workers;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        workers.push_back(
            std::make_unique<worker>(i, settings, counters, inputs));
    }
    return workers;
}

boost::asio::ip::tcp::endpoint endpoint_of(const proto::ListenSettings& listen)
{
    return {boost::asio::ip::make_address(listen.address()),
            static_cast<std::uint16_t>(listen.caller_port())};
}

} // namespace

daemon_process::daemon_process(const proto::DaemonSettings& settings,
                               node_options options, record_sink& record,
                               metrics& counters)
    : settings_(settings),
      metrics_(counters),
      workers_(make_workers(settings.vm().workers(), snapshot_, counters,
                            [this](proto::Input input)
                            { post(std::move(input)); })),
      acceptor_(listen_on(workers_.front()->context(),
                          endpoint_of(settings.listen()))),
      signals_(workers_.front()->context(), SIGTERM, SIGINT),
      drain_limit_(workers_.front()->context()),
      loop_(
          std::move(options),
          [this](std::vector<proto::Action> actions)
          { perform(std::move(actions)); },
          record, counters)
{
    peers_ = std::make_unique<peer_link>(
        settings.listen().address(),
        static_cast<std::uint16_t>(settings.listen().peer_port()),
        [this](proto::PeerMessage message, std::size_t bytes)
        {
            metrics_.count_peer_message(false, bytes);
            proto::Input input;
            *input.mutable_peer() = std::move(message);
            post(std::move(input));
        });
    for (const auto& peer : settings.peer())
    {
        peers_->set_peer(peer.name(), peer.address(),
                         static_cast<std::uint16_t>(peer.peer_port()));
    }
}

daemon_process::~daemon_process()
{
    peers_.reset(); // its threads call post()
}

bool daemon_process::run()
{
    accept();
    await_signal();
    for (auto& w : workers_)
    {
        w->start();
    }
    loop_.run();
    for (auto& w : workers_)
    {
        w->join();
    }
    return clean_;
}

void daemon_process::post(proto::Input input)
{
    if (input.has_platform_answered() &&
        input.platform_answered().reply().listed_size() > 0)
    {
        loop_.post_task([this, reply = input.platform_answered().reply()]
                        { add_peers(reply); });
    }
    loop_.post(std::move(input));
}

void daemon_process::add_peers(const proto::PlatformReply& reply)
{
    for (const auto& vm : reply.listed())
    {
        if (vm.vm() != settings_.vm().name())
        {
            peers_->set_peer(vm.vm(), vm.address(),
                             static_cast<std::uint16_t>(vm.peer_port()));
        }
    }
}

void daemon_process::accept()
{
    auto& target = *workers_[next_worker_++ % workers_.size()];
    acceptor_.async_accept(
        target.context(),
        [this, &target](boost::system::error_code error,
                        boost::asio::ip::tcp::socket socket)
        {
            if (error == boost::asio::error::operation_aborted)
            {
                return;
            }
            if (!error)
            {
                auto held = std::make_shared<boost::asio::ip::tcp::socket>(
                    std::move(socket));
                target.post_task(
                    [&target, held]
                    { target.frontend().accept(std::move(*held)); });
            }
            accept();
        });
}

void daemon_process::await_signal()
{
    signals_.async_wait(
        [this](boost::system::error_code error, int)
        {
            if (!error)
            {
                begin_drain();
                await_signal();
            }
        });
}

void daemon_process::begin_drain()
{
    if (draining_)
    {
        spdlog::warn("{} second signal: stopping immediately",
                     metrics_.summary());
        finish(false);
        return;
    }
    draining_ = true;
    spdlog::info("{} draining", metrics_.summary());
    proto::Input input;
    input.mutable_drain();
    loop_.post(std::move(input));
    drain_limit_.expires_after(milliseconds(settings_.vm().drain_ms()));
    drain_limit_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                spdlog::warn("{} drain timed out", metrics_.summary());
                finish(false);
            }
        });
}

/// Stops all threads. Later calls have no effect.
void daemon_process::finish(bool clean)
{
    loop_.post_task(
        [this, clean]
        {
            if (finished_)
            {
                return;
            }
            finished_ = true;
            clean_ = clean;
            workers_.front()->post_task(
                [this]
                {
                    acceptor_.close();
                    signals_.cancel();
                    drain_limit_.cancel();
                });
            for (auto& w : workers_)
            {
                w->finish(final_answer_timeout);
            }
            loop_.stop();
        });
}

} // namespace tanagerhoist
