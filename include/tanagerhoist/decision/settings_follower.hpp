#ifndef TANAGERHOIST_DECISION_SETTINGS_FOLLOWER_HPP
#define TANAGERHOIST_DECISION_SETTINGS_FOLLOWER_HPP

#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>
#include <optional>

namespace tanagerhoist
{

/// Intervals and timeouts of a settings follower.
struct settings_follower_options
{
    milliseconds poll_interval{500};        ///< between reads of the head row
    milliseconds call_timeout{400};         ///< of one platform call
    milliseconds ask_interval{200};         ///< between requests to peers
    milliseconds acknowledge_interval{500}; ///< between writes of the own row
};

/// Keeps a VM's settings up to date with the newest published version.
///
/// Some VMs poll the head row and fetch the bundle that it names; the others
/// learn of a newer version from a heartbeat and request it from that peer.
/// Only a version higher than the one in force is adopted, so late, duplicated
/// or reordered messages never revert settings. A bundle whose content does not
/// match its name or its head is refused. Settings from peers are not verified,
/// since peers are daemons of the same fleet.
///
/// After adopting a version the follower acknowledges it in the VM's own table
/// row.
class settings_follower
{
public:
    /// @param self must outlive the follower; its incarnation may change
    explicit settings_follower(const identity& self,
                               settings_follower_options options = {});
    settings_follower(const settings_follower&) = delete;
    settings_follower& operator=(const settings_follower&) = delete;

    /// Polls the head row and writes the acknowledgement when due.
    /// @param polls whether this VM polls the platform's head row
    /// @param wall wall clock since 1970, shown to operators only
    void on_tick(moment now, bool polls, outbox& out,
                 microseconds wall = microseconds(0));

    /// Handles the version in force at a peer, from its heartbeat.
    void on_peer_version(moment now, const proto::Incarnation& from,
                         std::uint64_t version, outbox& out);

    /// Handles settings sent by a peer.
    void on_peer_push(moment now, const proto::Settings& settings, outbox& out);

    /// Handles a peer's request for settings newer than its own.
    void on_peer_ask(moment now, const proto::Incarnation& from,
                     const proto::SettingsAsk& ask, outbox& out);

    /// Settings in force; null before the first adoption.
    const proto::Settings* current() const;

    /// Version in force; 0 before the first adoption.
    std::uint64_t version() const;

    /// Send time of the last read of the head row that found the settings in
    /// force to be the newest; zero if there was none. The send time is used
    /// because a late reply proves nothing about the time after it.
    moment last_platform_contact() const { return last_contact_; }

    /// Number of bundles refused for not matching their name or head.
    std::uint64_t refused_bundles() const { return refused_bundles_; }

private:
    void poll(moment now, outbox& out);
    void on_head(moment sent, const proto::PlatformReply& reply, moment now,
                 outbox& out);
    void fetch(const proto::SettingsHead& head, moment sent, moment now,
               outbox& out);
    void on_bundle(const proto::SettingsHead& head, moment sent,
                   const proto::PlatformReply* reply, outbox& out);
    void confirm(moment sent);
    void adopt(const proto::Settings& settings, outbox& out);
    void acknowledge(moment now, microseconds wall, outbox& out);
    void on_acknowledged(const proto::VmStatusRow& written,
                         const proto::PlatformReply* reply);

    const identity& self_;
    settings_follower_options options_;
    std::optional<proto::Settings> current_;
    moment last_contact_;
    moment next_poll_;
    moment next_ask_;
    moment next_acknowledgement_;
    moment poll_busy_until_;
    std::uint64_t row_version_ = 0;          // of the VM's own row
    std::uint64_t acknowledged_version_ = 0; // settings in the VM's own row
    std::uint64_t acknowledged_number_ = 0;  // incarnation in it
    std::uint64_t refused_bundles_ = 0;
};

} // namespace tanagerhoist

#endif
