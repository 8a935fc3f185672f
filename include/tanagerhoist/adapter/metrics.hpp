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

/// Counters and distributions of one daemon, in the Prometheus text form.
/// All members may be called from any thread.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts an answer to a caller and the time that it took.
    void count_answer(result_code code, microseconds took);

    /// Counts one input of the decision layer and the time that it took.
    void count_input(microseconds took);

    /// Counts a message to or from a peer.
    void count_peer_message(bool sent, std::size_t bytes);

    /// Counts events or records that the memory bound has dropped.
    void count_dropped_records(std::uint64_t count);

    /// Takes over the node's figures.
    void set_node_metrics(const node_metrics& current);

    /// All metrics as Prometheus text.
    std::string text() const;

    /// One line for the log: counters first.
    std::string summary() const;

    /// Number of the node's life; 0 before it is enrolled.
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
    mutable std::mutex mutex_; ///< guards what follows
    std::unique_ptr<distribution> latency_;
    std::unique_ptr<distribution> decision_;
    node_metrics node_;
};

} // namespace tanagerhoist

#endif
