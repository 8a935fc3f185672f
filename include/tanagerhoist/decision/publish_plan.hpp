#ifndef TANAGERHOIST_DECISION_PUBLISH_PLAN_HPP
#define TANAGERHOIST_DECISION_PUBLISH_PLAN_HPP

#include "messages.pb.h"
#include "tanagerhoist/decision/bundle.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace tanagerhoist
{

/// How a publish ended. Each holds for certain.
enum class publish_outcome
{
    published,         ///< accepted; `version` is its version
    conflict,          ///< refused: the head is not what we started from
    nothing_published, ///< no change of the head was ever sent
    unknown            ///< the change was sent, and no answer told its fate
};

/// Outcome of a publish.
struct publish_result
{
    publish_outcome outcome = publish_outcome::nothing_published;
    std::uint64_t version = 0;       ///< that it has, or would have had
    std::uint64_t other_version = 0; ///< conflict: of the change in the way
    std::string other_publisher;     ///< conflict: who made it
    bool superseded = false;         ///< published, and replaced since
};

/// What to publish, and in whose name.
struct publish_request
{
    proto::Settings settings;
    std::uint64_t from_version = 0; ///< version that the operator started from
    std::string publish_id;         ///< unique
    std::string publisher;
};

/// Steps of one publish, as a state machine over platform calls: read the
/// head, store the bundle, then set the head by compare-and-set.
///
/// When the answer to that last call is lost, the head is read again. Our
/// publish id in it, or among the earlier ones that it lists, shows that the
/// change was accepted. An unchanged head does not show the contrary, since
/// the call may still be under way, so the same compare-and-set is repeated:
/// it can take effect only once.
class publish_plan
{
public:
    /// @param max_failures calls without an answer until the plan gives up
    explicit publish_plan(publish_request order, unsigned max_failures = 5);

    /// Call to make next; empty when the plan has ended.
    std::optional<proto::PlatformCall> next() const;

    /// The call was answered.
    void on_reply(const proto::PlatformReply& reply);

    /// The call got no answer.
    /// @param sent false only if it provably never reached the platform
    void on_failure(bool sent);

    /// Outcome; meaningful once `next` is empty.
    const publish_result& result() const { return result_; }

private:
    enum class step
    {
        read_head,
        write_bundle,
        write_head,
        resolve,
        done
    };

    void on_first_head(const proto::PlatformReply& reply);
    void on_written(const proto::PlatformReply& reply);
    void on_resolved(const proto::PlatformReply& reply);
    void decide_from_head(const proto::SettingsHead& head);
    void prepare(const proto::SettingsHead& base, std::uint64_t row_version);
    void end(publish_outcome outcome);
    void end_in_conflict(const proto::SettingsHead& head);

    publish_request order_;
    unsigned failures_left_;
    step step_ = step::read_head;
    bool head_sent_ = false; // a write of the head may have reached the table
    std::uint64_t row_version_ = 0;
    proto::SettingsHead head_;
    settings_bundle bundle_;
    publish_result result_;
};

/// The outcome in one line for operators.
std::string to_text(const publish_result& result);

} // namespace tanagerhoist

#endif
