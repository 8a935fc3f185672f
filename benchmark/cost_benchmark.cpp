// Cost of the decision layer: time per tick and per request, and bytes of
// control messages per second, by the number of databases, workspaces and VMs.
// The slopes are used in docs/CAPACITY.md.

#include "bench_settings.hpp"
#include "tanagerhoist/decision/authenticator.hpp"
#include "tanagerhoist/decision/node.hpp"
#include "tanagerhoist/decision/settings_rows.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <memory>
#include <string>
#include <utility>

namespace tanagerhoist
{
namespace
{

/// Runs a single node. Its peers only send heartbeats; calls to servers and to
/// the platform are answered immediately.
class node_harness
{
public:
    node_harness(const settings_size& size, std::size_t vms) : vms_(vms)
    {
        node_options options;
        options.vm = vm_name(0);
        options.data_centre = "dc0";
        node_ = std::make_unique<node>(options);
        settings_ = generate_settings(size);
        push_settings();
        settle();
    }

    /// Runs one tick and answers the calls that it makes.
    /// @return number of inputs processed
    std::size_t tick()
    {
        now_us_ += static_cast<std::uint64_t>(
            microseconds(node::tick_interval).count());
        return feed([](proto::Input& input) { input.mutable_tick(); });
    }

    /// Runs one read, from its arrival to its reply.
    void request(const std::string& database, const std::string& workspace)
    {
        feed(
            [&](proto::Input& input)
            {
                auto& arrived = *input.mutable_caller_arrived();
                arrived.set_call(++call_);
                arrived.set_caller(1);
                arrived.mutable_request()->set_route(database + "-read");
                arrived.mutable_request()->set_statement("GET k");
                auto& principal = *arrived.mutable_principal();
                principal.set_key_id(workspace + "-key");
                principal.set_workspace(workspace);
                principal.set_key_hash(settings_.key(0).hash());
            });
    }

    /// Delivers a heartbeat from every peer.
    void heartbeats()
    {
        for (std::size_t i = 1; i < vms_; ++i)
        {
            feed(
                [&](proto::Input& input)
                {
                    auto& message = *input.mutable_peer();
                    message.mutable_from()->set_vm(vm_name(i));
                    message.mutable_from()->set_number(i + 1);
                    message.set_to(vm_name(0));
                    auto& heartbeat = *message.mutable_heartbeat();
                    heartbeat.set_data_centre("dc0");
                    heartbeat.set_settings_version(1);
                });
        }
    }

    std::uint64_t answered() const { return answered_; }
    std::uint64_t peer_bytes() const { return peer_bytes_; }
    std::uint64_t peer_messages() const { return peer_messages_; }
    std::uint64_t calls() const { return calls_; }

private:
    static std::string vm_name(std::size_t i)
    {
        return "vm" + std::to_string(i);
    }

    void push_settings()
    {
        feed(
            [&](proto::Input& input)
            {
                auto& message = *input.mutable_peer();
                message.mutable_from()->set_vm(vm_name(1));
                message.mutable_from()->set_number(2);
                message.set_to(vm_name(0));
                *message.mutable_settings_push()->mutable_settings() =
                    settings_;
            });
    }

    void settle()
    {
        constexpr int ticks = 150; // three seconds
        for (int i = 0; i < ticks; ++i)
        {
            if (i % 10 == 0)
            {
                heartbeats();
            }
            tick();
        }
    }

    template <class Fill>
    std::size_t feed(Fill&& fill)
    {
        proto::Input input;
        fill(input);
        std::vector<proto::Input> queue;
        queue.push_back(std::move(input));
        std::size_t inputs = 0;
        while (!queue.empty())
        {
            proto::Input next = std::move(queue.back());
            queue.pop_back();
            next.set_now_us(now_us_);
            ++inputs;
            auto actions = node_->apply(next);
            node_->take_events();
            for (const auto& action : actions)
            {
                answer(action, queue);
            }
        }
        return inputs;
    }

    void answer(const proto::Action& action, std::vector<proto::Input>& queue)
    {
        switch (action.body_case())
        {
        case proto::Action::kCallPlatform:
            answer_platform(action.call_platform(), queue);
            break;
        case proto::Action::kCallDatabase:
            answer_database(action.call_database(), queue);
            break;
        case proto::Action::kOpenConnection:
            queue.emplace_back().mutable_connection_opened()->set_connection(
                action.open_connection().connection());
            break;
        case proto::Action::kSendPeer:
            ++peer_messages_;
            peer_bytes_ += action.send_peer().ByteSizeLong();
            break;
        case proto::Action::kAnswerCaller:
            answered_ += action.answer_caller().reply().code() == 0 ? 1 : 0;
            break;
        default:
            break;
        }
    }

    void answer_platform(const proto::CallPlatform& call,
                         std::vector<proto::Input>& queue)
    {
        ++calls_;
        auto& answered = *queue.emplace_back().mutable_platform_answered();
        answered.set_tag(call.tag());
        auto& reply = *answered.mutable_reply();
        if (call.call().has_list())
        {
            for (std::size_t i = 0; i < vms_; ++i)
            {
                auto& vm = *reply.add_listed();
                vm.set_vm(vm_name(i));
                vm.set_data_centre("dc0");
            }
        }
        else if (call.call().has_table_write())
        {
            const auto& write = call.call().table_write();
            auto& row = rows_[write.row()];
            row = {row.first + 1, write.value()};
            reply.set_version(row.first);
        }
        else if (call.call().has_table_read())
        {
            const auto it = rows_.find(call.call().table_read().row());
            if (it == rows_.end())
            {
                reply.set_outcome(proto::PLATFORM_NOT_FOUND);
                return;
            }
            reply.set_version(it->second.first);
            reply.set_value(it->second.second);
        }
    }

    void answer_database(const proto::CallDatabase& call,
                         std::vector<proto::Input>& queue)
    {
        ++calls_;
        auto& answered = *queue.emplace_back().mutable_database_answered();
        answered.set_tag(call.tag());
        auto& reply = *answered.mutable_reply();
        const bool primary = call.server().back() == '0';
        if (call.call().has_execute())
        {
            reply.mutable_execute()->mutable_point()->set_term(1);
            reply.mutable_execute()->mutable_point()->set_position(1);
            return;
        }
        auto& status = *reply.mutable_status();
        status.mutable_last()->set_term(1);
        status.mutable_last()->set_position(1);
        status.set_primary(primary);
        status.set_sealed_term(1);
        status.set_holds(true);
    }

    std::size_t vms_;
    proto::Settings settings_;
    std::unique_ptr<node> node_;
    std::uint64_t now_us_ = 1'000'000;
    std::uint64_t call_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t peer_bytes_ = 0;
    std::uint64_t peer_messages_ = 0;
    std::uint64_t calls_ = 0;
    std::map<std::string, std::pair<std::uint64_t, std::string>> rows_;
};

void tick_by_databases(benchmark::State& state)
{
    node_harness harness({static_cast<std::size_t>(state.range(0)), 8},
                         static_cast<std::size_t>(state.range(1)));
    constexpr int ticks_per_heartbeat = 12;
    int ticks = 0;
    for (auto _ : state)
    {
        if (++ticks % ticks_per_heartbeat == 0)
        {
            state.PauseTiming();
            harness.heartbeats();
            state.ResumeTiming();
        }
        benchmark::DoNotOptimize(harness.tick());
    }
}
BENCHMARK(tick_by_databases)
    ->Args({3, 7})
    ->Args({300, 7})
    ->Args({300, 120})
    ->Args({4000, 7})
    ->Args({1200, 480});

void tick_by_workspaces(benchmark::State& state)
{
    node_harness harness({3, static_cast<std::size_t>(state.range(0))}, 7);
    for (auto _ : state)
    {
        benchmark::DoNotOptimize(harness.tick());
    }
}
BENCHMARK(tick_by_workspaces)->Arg(8)->Arg(800)->Arg(4000);

/// CPU time and message bytes of one simulated second without requests, by the
/// number of VMs.
void control_second_by_vms(benchmark::State& state)
{
    const auto vms = static_cast<std::size_t>(state.range(0));
    node_harness harness({3, 8}, vms);
    constexpr int ticks_per_second = 50;
    constexpr int ticks_per_heartbeat = 12;
    const auto bytes = harness.peer_bytes();
    const auto messages = harness.peer_messages();
    std::uint64_t seconds = 0;
    for (auto _ : state)
    {
        for (int i = 0; i < ticks_per_second; ++i)
        {
            if (i % ticks_per_heartbeat == 0)
            {
                harness.heartbeats();
            }
            harness.tick();
        }
        ++seconds;
    }
    const auto n = static_cast<double>(seconds);
    state.counters["bytes_per_s"] =
        static_cast<double>(harness.peer_bytes() - bytes) / n;
    state.counters["messages_per_s"] =
        static_cast<double>(harness.peer_messages() - messages) / n;
    state.counters["share_of_core"] = benchmark::Counter(
        n, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}
BENCHMARK(control_second_by_vms)->Arg(7)->Arg(62)->Arg(400)->Arg(1600);

void request_by_databases(benchmark::State& state)
{
    const auto databases = static_cast<std::size_t>(state.range(0));
    node_harness harness({databases, 8}, 7);
    std::size_t i = 0;
    for (auto _ : state)
    {
        harness.request("database" + std::to_string(i % databases),
                        "workspace" + std::to_string(i % 8));
        ++i;
    }
    state.counters["served"] = static_cast<double>(harness.answered());
}
BENCHMARK(request_by_databases)->Arg(3)->Arg(300)->Arg(4000);

void memory_by_databases(benchmark::State& state)
{
    for (auto _ : state)
    {
        const auto before = mallinfo2().uordblks;
        const node_harness harness({static_cast<std::size_t>(state.range(0)),
                                    static_cast<std::size_t>(state.range(1))},
                                   7);
        state.counters["bytes"] =
            static_cast<double>(mallinfo2().uordblks - before);
    }
}
BENCHMARK(memory_by_databases)
    ->Args({3, 8})
    ->Args({300, 8})
    ->Args({4000, 8})
    ->Args({3, 4000})
    ->Iterations(1);

} // namespace
} // namespace tanagerhoist

BENCHMARK_MAIN();
