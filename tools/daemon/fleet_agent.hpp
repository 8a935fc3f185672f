#ifndef TANAGERHOIST_TOOLS_DAEMON_FLEET_AGENT_HPP
#define TANAGERHOIST_TOOLS_DAEMON_FLEET_AGENT_HPP

#include "settings.pb.h"

#include "platform/server_control.hpp"
#include "platform/store_client.hpp"
#include "tanagerhoist/core/journal.hpp"
#include "tanagerhoist/fleet/duty_keeper.hpp"
#include "tanagerhoist/fleet/fleet_hub.hpp"
#include "tanagerhoist/fleet/lead_changer.hpp"
#include "tanagerhoist/fleet/row_mirror.hpp"
#include "tanagerhoist/session/proxy.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// An IP number and a port, as the settings write them.
struct endpoint_setting
{
    std::string address;
    std::uint16_t port = 0;
};

endpoint_setting split_endpoint(const std::string& text);

/// A VM's part in the fleet: follows the store's tables, tells the holder of
/// the duty what it sees, and does the duty's work while it holds it. Runs as
/// fibers on one thread.
class fleet_agent : private lead_change_port
{
public:
    using clock = std::function<moment()>;

    fleet_agent(boost::asio::io_context& context,
                const proto::SessionDaemonSettings& settings,
                std::uint64_t life, limit_tolerance tolerance, proxy& decisions,
                journal& lines, clock now);

    void start();

    /// Sends a report soon, since something has changed.
    void report_soon();

    /// Sends a report if a workspace's stock runs low.
    void report_if_short();

    /// Gives back the duty and this VM's row; suspends the calling fiber.
    void leave();

    /// The newest configuration as the operator wrote it, for peers.
    const std::string& config_text() const { return config_text_; }

private:
    using row_handler = std::function<void(const std::vector<store_row>&)>;

    // Following the store
    struct table_watch
    {
        const char* table;
        milliseconds holder_wait; ///< of a call, by the duty's holder
        row_handler handle;
        platform::store_client client;
        bool told_by_holder; ///< the duty's holder passes changes on
        row_mirror rows{told_by_holder};
        bool nudged = false; ///< a peer has seen a newer row
    };
    void follow(table_watch& watch);
    void nudge(table_watch& watch);
    store_answer next_answer(table_watch& watch, bool known, bool at_once);
    bool is_told(const table_watch& watch);
    void add_server_changes(const std::string& vm, proto::FleetView& view);
    void take_server_changes(const proto::FleetView& view);
    bool read_leads(row_store& store);
    void register_self();
    void keep_right();
    bool renew_right();
    void take_lead_row(const store_row& row);
    void read_members();
    void take_members(const store_answer& answer);
    std::uint64_t store_time() const;
    void remove_lapsed();
    void take_config(const std::vector<store_row>& rows);
    void use_config(const std::string& text);
    void take_servers(const std::vector<store_row>& rows);
    void fetch_config(const std::string& address, std::uint16_t port);

    // Datagrams
    void receive();
    void take_datagram(std::size_t size);
    void take_view(const proto::FleetView& view);
    void reply_to(const proto::GrantRequest& request);
    void take_reply(const proto::GrantReply& reply);
    void request_grants();
    void send_report();
    void send_view(const std::string& vm);
    void send_views();
    bool is_behind(bool missing, std::optional<moment>& since,
                   milliseconds time);
    proto::FleetView view_for(const std::string& vm);
    void report_regularly();

    // Duty
    milliseconds duty_patience() const;
    void keep_duty();
    void watch_groups();
    void change_lead(const std::string& group, bool planned);
    void found_group(const std::string& group);
    bool needs_change(const std::string& group, bool& planned);
    bool is_misled(const proto::GroupLead& lead);

    // lead_change_port
    moment now() override { return now_(); }
    void pause(milliseconds time) override;
    bool holds_duty() override;
    store_answer write_lead(const proto::GroupLead& lead,
                            std::uint64_t version) override;
    bool is_sealed(const proto::GroupLead& lead, std::uint64_t seal_version,
                   moment sealed) override;
    std::vector<backend_server> servers(const std::string& group) override;
    unsigned synchronous_replicas(const std::string& group) override;
    std::optional<server_role> role(const backend_server& server) override;
    std::optional<server_role> demote(const backend_server& server,
                                      std::uint64_t term) override;
    promotion_answer order(const std::string& group,
                           const std::string& server) override;
    std::optional<server_role> ask(const backend_server& server,
                                   const std::string& line);

    platform::store_client make_client() const;
    proto::MemberRow self_row() const;
    void run_fiber(std::function<void()> body);

    boost::asio::io_context& context_;
    proto::SessionDaemonSettings settings_;
    std::uint64_t life_;
    std::uint64_t cpu_percent_;
    proxy& proxy_;
    journal& lines_;
    clock now_;
    endpoint_setting store_;
    endpoint_setting duty_address_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 65536> datagram_{};
    boost::asio::steady_timer report_timer_;
    table_watch config_watch_;
    table_watch server_watch_;
    platform::store_client duty_store_;
    platform::store_client lead_store_;
    platform::store_client right_store_;
    duty_keeper duty_;
    fleet_hub hub_;
    fleet_members members_;
    moment members_asked_{};
    bool reading_members_ = false;
    std::uint64_t own_version_ = 0; ///< of this VM's row; 0: there is none
    bool known_ = false;            ///< the leads and members have been read
    bool registered_ = false;       ///< this life has written its row
    milliseconds store_clock_{0};   ///< in the newest answer to a renewal
    moment store_clock_at_{};       ///< when that renewal was sent
    std::map<std::string, lead_row> lead_rows_;
    std::map<std::string, backend_server> servers_;
    std::map<std::string, moment> misled_since_;
    std::map<std::string, std::unique_ptr<platform::server_control>> controls_;
    std::set<std::string> changing_;
    std::map<std::string, boost::asio::ip::udp::endpoint> peers_;
    std::string config_text_;
    std::uint64_t config_version_ = 0;
    bool held_duty_ = false;
    bool fetching_ = false;
    bool asking_ = false;
    bool awaiting_grant_ = false;
    std::optional<moment> servers_behind_; ///< since when
    std::optional<moment> config_behind_;
    bool leaving_ = false;
    moment reported_{};
    std::uint64_t report_sequence_ = 0;
    std::map<std::uint64_t, moment> reports_; ///< when sent, by sequence
    std::uint64_t newest_view_ = 0;
    moment heard_{}; ///< from the duty's holder
    boost::asio::ip::udp::endpoint holder_at_;
    std::uint64_t holder_token_ = 0;
    std::uint64_t view_sequence_ = 0;
    std::uint64_t seen_view_ = 0;
};

} // namespace tanagerhoist

#endif
