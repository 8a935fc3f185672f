#ifndef TANAGERHOIST_DECISION_SETTINGS_FOLLOWER_HPP
#define TANAGERHOIST_DECISION_SETTINGS_FOLLOWER_HPP

#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>
#include <optional>

namespace tanagerhoist
{

/// Times of a settings follower.
struct settings_follower_options
{
    milliseconds poll_interval{500};        ///< between reads of the head row
    milliseconds call_timeout{400};         ///< of one platform call
    milliseconds ask_interval{200};         ///< between questions to peers
    milliseconds acknowledge_interval{500}; ///< between writes of the own row
};

/// Keeps a VM on the newest published settings that it can learn of.
///
/// Some VMs poll the head row and fetch the bundle that it names; the others
/// hear of a newer version by heartbeat and ask that peer. Only a higher
/// version than the one in force is ever adopted, so settings never revert,
/// whatever arrives late, twice or out of order. A bundle whose content does
/// not match its name or its head is refused. Peers are trusted as the
/// daemons of the same fleet that they are.
///
/// After an adoption the follower acknowledges it in the VM's own table row.
class settings_follower
{
public:
    /// @param self must outlive the follower; its incarnation may change
    explicit settings_follower(const identity& self,
                               settings_follower_options options = {});
    settings_follower(const settings_follower&) = delete;
    settings_follower& operator=(const settings_follower&) = delete;

    /// Polls and acknowledges as due.
    /// @param polls whether this VM is to read the platform's head row
    /// @param wall wall clock since 1970, written for operators to read
    void on_tick(moment now, bool polls, outbox& out,
                 microseconds wall = microseconds(0));

    /// A peer's heartbeat told the version that it has in force.
    void on_peer_version(moment now, const proto::Incarnation& from,
                         std::uint64_t version, outbox& out);

    /// A peer sent its settings.
    void on_peer_push(moment now, const proto::Settings& settings, outbox& out);

    /// A peer asks for settings newer than its own.
    void on_peer_ask(moment now, const proto::Incarnation& from,
                     const proto::SettingsAsk& ask, outbox& out);

    /// Settings in force; null before the first adoption.
    const proto::Settings* current() const;

    /// Version in force; 0 before the first adoption.
    std::uint64_t version() const;

    /// When the last read of the head row was sent that found the settings in
    /// force to be the newest; zero if there was none. The time of sending is
    /// what counts: a late reply tells of no later state.
    moment last_platform_contact() const { return last_contact_; }

    /// Bundles refused because they did not match their name or head.
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
