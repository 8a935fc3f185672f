#include "tanagerhoist/decision/settings_follower.hpp"

#include "tanagerhoist/decision/bundle.hpp"
#include "tanagerhoist/decision/settings_rows.hpp"

#include <algorithm>

namespace tanagerhoist
{

settings_follower::settings_follower(const identity& self,
                                     settings_follower_options options)
    : self_(self), options_(options)
{
}

const proto::Settings* settings_follower::current() const
{
    return current_ ? &*current_ : nullptr;
}

std::uint64_t settings_follower::version() const
{
    return current_ ? current_->version() : 0;
}

void settings_follower::on_tick(moment now, bool polls, outbox& out,
                                microseconds wall)
{
    if (polls && now >= next_poll_ && now >= poll_busy_until_)
    {
        poll(now, out);
    }
    const bool changed =
        version() > acknowledged_version_ ||
        (version() != 0 && self_.number > acknowledged_number_);
    if (changed && self_.number != 0 && now >= next_acknowledgement_)
    {
        acknowledge(now, wall, out);
    }
}

void settings_follower::poll(moment now, outbox& out)
{
    next_poll_ = now + options_.poll_interval;
    // Polling resumes even if the reply is never delivered.
    poll_busy_until_ = now + 2 * options_.call_timeout;
    out.call_platform(
        read_row(settings_head_row), options_.call_timeout,
        [this, sent = now, &out](moment at, const proto::PlatformReply* reply)
        {
            poll_busy_until_ = moment();
            if (reply != nullptr)
            {
                on_head(sent, *reply, at, out);
            }
        });
}

void settings_follower::on_head(moment sent, const proto::PlatformReply& reply,
                                moment now, outbox& out)
{
    if (reply.outcome() == proto::PLATFORM_NOT_FOUND)
    {
        confirm(sent);
        return;
    }
    proto::SettingsHead head;
    if (reply.outcome() != proto::PLATFORM_OK ||
        !head.ParseFromString(reply.value()))
    {
        return;
    }
    if (head.version() <= version())
    {
        confirm(sent);
        return;
    }
    fetch(head, sent, now, out);
}

void settings_follower::fetch(const proto::SettingsHead& head, moment sent,
                              moment now, outbox& out)
{
    poll_busy_until_ = now + 2 * options_.call_timeout;
    out.call_platform(
        read_object(head.bundle()), options_.call_timeout,
        [this, head, sent, &out](moment, const proto::PlatformReply* reply)
        {
            poll_busy_until_ = moment();
            on_bundle(head, sent, reply, out);
        });
}

void settings_follower::on_bundle(const proto::SettingsHead& head, moment sent,
                                  const proto::PlatformReply* reply,
                                  outbox& out)
{
    if (reply == nullptr || reply->outcome() != proto::PLATFORM_OK)
    {
        return;
    }
    const auto settings = open_bundle(head.bundle(), reply->value());
    if (!settings || settings->version() != head.version())
    {
        ++refused_bundles_;
        return;
    }
    adopt(*settings, out);
    confirm(sent);
}

void settings_follower::confirm(moment sent)
{
    last_contact_ = std::max(last_contact_, sent);
}

void settings_follower::adopt(const proto::Settings& settings, outbox& out)
{
    if (settings.version() <= version())
    {
        return;
    }
    current_ = settings;
    proto::Action action;
    *action.mutable_use_settings()->mutable_settings() = settings;
    out.add(std::move(action));
}

void settings_follower::on_peer_version(moment now,
                                        const proto::Incarnation& from,
                                        std::uint64_t version, outbox& out)
{
    if (version <= this->version() || now < next_ask_)
    {
        return;
    }
    next_ask_ = now + options_.ask_interval;
    proto::PeerMessage message;
    message.mutable_settings_ask()->set_have_version(this->version());
    out.send_peer(from.vm(), from.number(), std::move(message));
}

void settings_follower::on_peer_push(moment /*now*/,
                                     const proto::Settings& settings,
                                     outbox& out)
{
    adopt(settings, out);
}

void settings_follower::on_peer_ask(moment /*now*/,
                                    const proto::Incarnation& from,
                                    const proto::SettingsAsk& ask, outbox& out)
{
    if (version() <= ask.have_version())
    {
        return;
    }
    proto::PeerMessage message;
    *message.mutable_settings_push()->mutable_settings() = *current_;
    out.send_peer(from.vm(), from.number(), std::move(message));
}

void settings_follower::acknowledge(moment now, microseconds wall, outbox& out)
{
    next_acknowledgement_ = now + options_.acknowledge_interval;
    proto::VmStatusRow row;
    row.set_vm(self_.vm);
    row.set_incarnation(self_.number);
    row.set_settings_version(version());
    row.set_wall_us(static_cast<std::uint64_t>(wall.count()));
    out.call_platform(write_row(vm_status_row(self_.vm), row_version_,
                                row.SerializeAsString()),
                      options_.call_timeout,
                      [this, row](moment, const proto::PlatformReply* reply)
                      { on_acknowledged(row, reply); });
}

void settings_follower::on_acknowledged(const proto::VmStatusRow& written,
                                        const proto::PlatformReply* reply)
{
    if (reply == nullptr)
    {
        return;
    }
    row_version_ = std::max(row_version_, reply->version());
    proto::VmStatusRow held = written;
    if (reply->outcome() == proto::PLATFORM_CONFLICT &&
        !held.ParseFromString(reply->value()))
    {
        return;
    }
    // A conflict returns the content of the row: this same write, whose reply
    // was lost; that of an earlier incarnation, which is overwritten; or that
    // of a later incarnation, which must not be overwritten.
    const bool later_incarnation = held.incarnation() > written.incarnation();
    if (later_incarnation ||
        (held.incarnation() == written.incarnation() &&
         held.settings_version() >= written.settings_version()))
    {
        acknowledged_number_ =
            std::max(acknowledged_number_, held.incarnation());
        acknowledged_version_ =
            std::max(acknowledged_version_,
                     later_incarnation ? UINT64_MAX : held.settings_version());
    }
}

} // namespace tanagerhoist
