#include "tanagerhoist/adapter/decision_loop.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <memory>
#include <utility>

namespace tanagerhoist
{

decision_loop::decision_loop(node_options options, action_handler perform,
                             record_sink& record, metrics& counters)
    : timer_(context_),
      start_(boot_clock::now()),
      node_(std::move(options)),
      handle_actions_(std::move(perform)),
      record_(record),
      metrics_(counters)
{
}

moment decision_loop::now() const
{
    return moment(
        std::chrono::duration_cast<microseconds>(boot_clock::now() - start_));
}

void decision_loop::post(proto::Input input)
{
    boost::asio::post(context_, [this, input = std::move(input)]() mutable
                      { apply(std::move(input)); });
}

void decision_loop::post_task(std::function<void()> task)
{
    boost::asio::post(context_, std::move(task));
}

void decision_loop::apply(proto::Input input)
{
    const auto wall = std::chrono::duration_cast<microseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    const moment at = now();
    input.set_now_us(to_us(at));
    input.set_wall_us(static_cast<std::uint64_t>(wall.count()));
    auto actions = node_.apply(input);
    record_.record_input(input, actions);
    record_.record_events(node_.take_events());
    metrics_.count_input(now() - at);
    if (input.has_tick())
    {
        metrics_.set_node_metrics(node_.current_metrics(at));
    }
    handle_actions_(std::move(actions));
}

void decision_loop::schedule_tick()
{
    timer_.expires_after(node::tick_interval);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
            {
                proto::Input input;
                input.mutable_tick();
                apply(std::move(input));
                schedule_tick();
            }
        });
}

void decision_loop::run()
{
    auto work = boost::asio::make_work_guard(context_);
    schedule_tick();
    context_.run();
}

void decision_loop::stop()
{
    context_.stop();
}

} // namespace tanagerhoist
