#ifndef TANAGERHOIST_ADAPTER_METRICS_HPP
#define TANAGERHOIST_ADAPTER_METRICS_HPP

#include "tanagerhoist/core/result_code.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/node.hpp"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace tanagerhoist
{

/// Counters, gauges and summaries of one daemon, exported in the Prometheus
/// text format. Thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts an answer to a caller and its latency.
    void count_answer(result_code code, microseconds took);

    /// Counts one input of the decision layer and its processing time.
    void count_input(microseconds took);

    /// Counts a message sent to or received from a peer.
    void count_peer_message(bool sent, std::size_t bytes);

    /// Counts events or inputs dropped by the recorder's memory limit.
    void count_dropped_records(std::uint64_t count);

    /// Stores the current metrics of the node.
    void set_node_metrics(const node_metrics& current);

    /// All metrics in the Prometheus text format.
    std::string text() const;

    /// One line for the log: answers by outcome, then the node's gauges.
    std::string summary() const;

    /// Incarnation number of the node; 0 until one is allocated.
    std::uint64_t incarnation() const;

private:
    struct distribution;
    static constexpr std::size_t code_limit = 400;

    std::uint64_t answers_with(outcome value) const;

    std::array<std::atomic<std::uint64_t>, code_limit> answers_{};
    std::atomic<std::uint64_t> peer_sent_{0};
    std::atomic<std::uint64_t> peer_sent_bytes_{0};
    std::atomic<std::uint64_t> peer_received_{0};
    std::atomic<std::uint64_t> peer_received_bytes_{0};
    std::atomic<std::uint64_t> dropped_{0};
    mutable std::mutex mutex_; ///< guards the members below
    std::unique_ptr<distribution> latency_;
    std::unique_ptr<distribution> decision_;
    node_metrics node_;
};

} // namespace tanagerhoist

#endif
