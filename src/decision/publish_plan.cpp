#include "tanagerhoist/decision/publish_plan.hpp"

#include "tanagerhoist/decision/settings_rows.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{
namespace
{

/// Maximum number of earlier publish ids in a head. They let a publisher whose
/// reply was lost find its change even if others have published since.
constexpr int max_earlier_ids = 32;

/// Parses the head in the reply to a row read. An absent row gives version 0.
/// @return empty if the row is malformed
std::optional<proto::SettingsHead> parse_head(const proto::PlatformReply& reply)
{
    proto::SettingsHead head;
    const bool readable = reply.value().empty()
                              ? reply.version() == 0
                              : head.ParseFromString(reply.value());
    return readable ? std::optional(head) : std::nullopt;
}

} // namespace

publish_plan::publish_plan(publish_request order, unsigned max_failures)
    : order_(std::move(order)), failures_left_(max_failures)
{
    result_.version = order_.from_version + 1;
}

std::optional<proto::PlatformCall> publish_plan::next() const
{
    switch (step_)
    {
    case step::read_head:
    case step::resolve:
        return read_row(settings_head_row);
    case step::write_bundle:
        return write_object(bundle_.name, bundle_.content);
    case step::write_head:
        return write_row(settings_head_row, row_version_,
                         head_.SerializeAsString());
    case step::done:
        break;
    }
    return std::nullopt;
}

void publish_plan::on_reply(const proto::PlatformReply& reply)
{
    switch (step_)
    {
    case step::read_head:
        on_first_head(reply);
        break;
    case step::write_bundle:
        step_ = step::write_head;
        break;
    case step::write_head:
        on_written(reply);
        break;
    case step::resolve:
        on_resolved(reply);
        break;
    case step::done:
        break;
    }
}

void publish_plan::on_failure(bool sent)
{
    if (step_ == step::write_head && sent)
    {
        head_sent_ = true;
        step_ = step::resolve;
    }
    if (failures_left_ > 0)
    {
        --failures_left_;
    }
    if (failures_left_ == 0)
    {
        end(head_sent_ ? publish_outcome::unknown
                       : publish_outcome::nothing_published);
    }
}

void publish_plan::on_first_head(const proto::PlatformReply& reply)
{
    const auto head = parse_head(reply);
    if (!head)
    {
        end(publish_outcome::nothing_published);
        return;
    }
    if (head->version() != order_.from_version)
    {
        end_in_conflict(*head);
        return;
    }
    prepare(*head, reply.version());
    step_ = step::write_bundle;
}

void publish_plan::prepare(const proto::SettingsHead& base,
                           std::uint64_t row_version)
{
    row_version_ = row_version;
    order_.settings.set_version(base.version() + 1);
    bundle_ = make_bundle(order_.settings);
    head_.set_version(order_.settings.version());
    head_.set_bundle(bundle_.name);
    head_.set_publish_id(order_.publish_id);
    head_.set_publisher(order_.publisher);
    if (!base.publish_id().empty())
    {
        head_.add_earlier_id(base.publish_id());
    }
    for (const auto& id : base.earlier_id())
    {
        if (head_.earlier_id_size() < max_earlier_ids)
        {
            head_.add_earlier_id(id);
        }
    }
}

void publish_plan::on_written(const proto::PlatformReply& reply)
{
    if (reply.outcome() == proto::PLATFORM_OK)
    {
        end(publish_outcome::published);
        return;
    }
    on_resolved(reply);
}

void publish_plan::on_resolved(const proto::PlatformReply& reply)
{
    const auto head = parse_head(reply);
    if (!head)
    {
        end(head_sent_ ? publish_outcome::unknown
                       : publish_outcome::nothing_published);
        return;
    }
    decide_from_head(*head);
}

void publish_plan::decide_from_head(const proto::SettingsHead& head)
{
    const auto& ids = head.earlier_id();
    if (head.publish_id() == order_.publish_id)
    {
        end(publish_outcome::published);
    }
    else if (std::find(ids.begin(), ids.end(), order_.publish_id) != ids.end())
    {
        result_.superseded = true;
        end(publish_outcome::published);
    }
    else if (head.version() < head_.version())
    {
        // Not applied yet: repeat. Counted as a failure to bound the retries.
        step_ = step::write_head;
        on_failure(false);
    }
    else if (!head_sent_ || head.version() - head_.version() <=
                                static_cast<std::uint64_t>(ids.size()))
    {
        end_in_conflict(head);
    }
    else
    {
        // The list of earlier ids no longer goes back to this publish.
        end(publish_outcome::unknown);
    }
}

void publish_plan::end(publish_outcome outcome)
{
    result_.outcome = outcome;
    step_ = step::done;
}

void publish_plan::end_in_conflict(const proto::SettingsHead& head)
{
    result_.other_version = head.version();
    result_.other_publisher = head.publisher();
    end(publish_outcome::conflict);
}

std::string to_text(const publish_result& result)
{
    const std::string version = std::to_string(result.version);
    switch (result.outcome)
    {
    case publish_outcome::published:
        return "published as version " + version +
               (result.superseded ? ", already replaced by a later one" : "");
    case publish_outcome::conflict:
        return "conflict: nothing published; version " +
               std::to_string(result.other_version) + " by " +
               (result.other_publisher.empty() ? "nobody"
                                               : result.other_publisher) +
               " is in the way of version " + version;
    case publish_outcome::nothing_published:
        return "nothing published: the platform gave no usable answer";
    case publish_outcome::unknown:
        break;
    }
    return "not known whether version " + version +
           " was accepted: the platform did not answer; see status";
}

} // namespace tanagerhoist
