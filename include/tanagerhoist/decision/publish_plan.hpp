#ifndef TANAGERHOIST_DECISION_PUBLISH_PLAN_HPP
#define TANAGERHOIST_DECISION_PUBLISH_PLAN_HPP

#include "messages.pb.h"
#include "tanagerhoist/decision/bundle.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace tanagerhoist
{

/// Outcome of a publish. Each value is reported only if it is certain.
enum class publish_outcome
{
    published,         ///< accepted; `version` is its version
    conflict,          ///< rejected: the head has changed since `from_version`
    nothing_published, ///< no write of the head was sent
    unknown            ///< the write was sent, but its result was never learned
};

/// Outcome of a publish, with the versions involved.
struct publish_result
{
    publish_outcome outcome = publish_outcome::nothing_published;
    std::uint64_t version = 0;       ///< assigned to this publish if accepted
    std::uint64_t other_version = 0; ///< conflict: version now in the head
    std::string other_publisher;     ///< conflict: publisher of that version
    bool superseded = false;         ///< published, and replaced by a later one
};

/// Settings to publish and their publisher.
struct publish_request
{
    proto::Settings settings;
    std::uint64_t from_version = 0; ///< version that the change is based on
    std::string publish_id;         ///< unique
    std::string publisher;
};

/// State machine for one publish, driven by platform calls: read the head,
/// store the bundle, then update the head by compare-and-set.
///
/// If the reply to the compare-and-set is lost, the head is read again. The
/// change was accepted if the head holds this publish id or lists it among the
/// earlier ones. An unchanged head does not prove a rejection, since the call
/// may still be in transit, so the same compare-and-set is repeated: it can
/// take effect only once.
class publish_plan
{
public:
    /// @param max_failures number of failed calls after which the plan ends
    explicit publish_plan(publish_request order, unsigned max_failures = 5);

    /// Next call to make; empty once the plan has ended.
    std::optional<proto::PlatformCall> next() const;

    /// Handles the reply to the call.
    void on_reply(const proto::PlatformReply& reply);

    /// Handles a call without a reply.
    /// @param sent false only if it provably never reached the platform
    void on_failure(bool sent);

    /// Outcome; valid once `next` is empty.
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

/// Formats the outcome as one line for operators.
std::string to_text(const publish_result& result);

} // namespace tanagerhoist

#endif
