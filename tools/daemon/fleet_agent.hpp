#ifndef TANAGERHOIST_TOOLS_DAEMON_FLEET_AGENT_HPP
#define TANAGERHOIST_TOOLS_DAEMON_FLEET_AGENT_HPP

#include "settings.pb.h"

#include "platform/store_client.hpp"
#include "tanagerhoist/adapter/loop_monitor.hpp"
#include "tanagerhoist/core/count_rise.hpp"
#include "tanagerhoist/core/structured_log.hpp"
#include "tanagerhoist/fleet/allowance_pool.hpp"
#include "tanagerhoist/fleet/backoff.hpp"
#include "tanagerhoist/fleet/coordinator_lease.hpp"
#include "tanagerhoist/fleet/coordinator_messages.hpp"
#include "tanagerhoist/fleet/deputy_choice.hpp"
#include "tanagerhoist/fleet/deputy_handover.hpp"
#include "tanagerhoist/fleet/era_row_store.hpp"
#include "tanagerhoist/fleet/evacuations.hpp"
#include "tanagerhoist/fleet/failover_executor.hpp"
#include "tanagerhoist/fleet/fleet_coordinator.hpp"
#include "tanagerhoist/fleet/group_monitor.hpp"
#include "tanagerhoist/fleet/held_rows.hpp"
#include "tanagerhoist/fleet/lasting_condition.hpp"
#include "tanagerhoist/fleet/lead_table.hpp"
#include "tanagerhoist/fleet/member_registration.hpp"
#include "tanagerhoist/fleet/request_pacing.hpp"
#include "tanagerhoist/fleet/table_cache.hpp"
#include "tanagerhoist/fleet/told_revisions.hpp"
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

/// IP number and port, as given in the settings.
struct endpoint_setting
{
    std::string address;
    std::uint16_t port = 0;
};

/// Splits "address:port"; the text must have passed the settings' checks.
endpoint_setting split_endpoint(const std::string& text);

/// A connection to the platform's store, with versions that never go back.
/// Must not be used by two fibers at a time.
struct store_link
{
    platform::store_client client;
    era_row_store rows{client};
};

/// A VM's membership in the fleet: follows the store's tables, reports to the
/// coordinator, and acts as coordinator while it holds the lease. Runs as
/// fibers on one thread.
class fleet_agent
{
public:
    using clock = std::function<moment()>;

    fleet_agent(boost::asio::io_context& context,
                const proto::SessionDaemonSettings& settings,
                std::uint64_t life, limit_tolerance tolerance, proxy& decisions,
                structured_log& lines, loop_monitor& monitor, clock now);

    void start();

    /// Sends a report as soon as possible, after a change.
    void report_soon();

    /// Requests grants from the coordinator if a workspace's stock runs low.
    void request_grants_if_needed();

    /// Releases the coordinator lease and removes this VM's row; suspends the
    /// calling fiber.
    void leave();

    /// Time since the last renewal of the coordinator lease began, or of the
    /// primary lease if another VM is the coordinator.
    microseconds since_renewal() const;

    /// Operations that this VM was handed as a deputy, and granted of them.
    const allowance_pool& pool() const { return pool_; }

    /// What this VM handed over, and could not send.
    const deputy_handover& handover() const { return handover_; }

    /// Text of the newest configuration as the operator wrote it, for peers.
    const std::string& config_text() const { return config_text_; }

private:
    /// How rows that a watch delivers follow those before them.
    struct watch_step
    {
        bool full = false;     ///< they come from a read of the full table
        bool restored = false; ///< the store has come back older meanwhile
    };

    /// Handles changed rows.
    using row_handler =
        std::function<void(const std::vector<store_row>&, watch_step)>;

    /// What a change of a group's lead does in the outside world: defined in
    /// group_operation.hpp.
    class group_operation;

    // Following the store's tables: fleet_agent_tables.cpp
    struct table_watch
    {
        const char* table;
        milliseconds holder_wait; ///< longest watch call of the coordinator
        row_handler handle;
        store_link store;
        bool updated_by_coordinator; ///< the coordinator sends changes
        table_cache rows{updated_by_coordinator};
        bool refresh_requested = false; ///< read at once: a peer has newer rows
        moment answered{};              ///< last answer of the store
    };
    void follow_table(table_watch& watch);
    void log_older_table(const table_watch& watch, const store_answer& answer);
    void request_refresh(table_watch& watch);
    store_answer poll_store(table_watch& watch, bool known, bool at_once);
    bool is_updated_by_coordinator(const table_watch& watch);
    void apply_config_rows(const std::vector<store_row>& rows);
    void adopt_config(const std::string& text);
    void fetch_config(const std::string& address, std::uint16_t port);
    void refresh_outdated_tables(const proto::FleetView& view);
    void add_settings_source(const std::string& vm, proto::FleetView& view);
    void use_settings_source(const proto::FleetView& view);

    // Evacuated data centres: fleet_agent_evacuations.cpp
    void apply_evacuation_rows(const std::vector<store_row>& rows, bool full);
    evacuations::name_set evacuations_in_copy() const;
    static std::vector<evacuation_change>
    evacuation_changes(const std::vector<store_row>& rows);
    void use_evacuations(const proto::FleetView& view);
    void end_lapsed_evacuations();
    void add_evacuations(proto::FleetView& view) const;
    void apply_evacuations(const evacuations::name_set& before);
    void log_evacuations(const evacuations::name_set& before);
    void log_evacuated_groups();

    // List of servers: fleet_agent_servers.cpp
    void handle_server_rows(const std::vector<store_row>& rows, bool restored);
    void apply_server_rows(const std::vector<store_row>& rows);
    void apply_held_servers();
    bool goes_back(const store_row& row) const;
    void add_server_changes(const std::string& vm, proto::FleetView& view);
    void apply_server_changes(const proto::FleetView& view);

    // Leads: fleet_agent_leads.cpp
    bool read_leads(row_store& store);
    void apply_lead_row(const store_row& row);
    bool use_leads(const proto::FleetView& view);
    void use_reported_leads(const proto::VmReport& report);
    void confirm_leads(const coordinator_term& term);
    void start_confirmation(const coordinator_term& term,
                            const std::string& group);
    void create_group_lead(const coordinator_term& term,
                           const std::string& group);
    store_answer write_lead(const coordinator_term& term,
                            const proto::GroupLead& lead,
                            std::uint64_t version);

    // Registration and members: fleet_agent_members.cpp
    void register_self();
    void maintain_primary_lease();
    bool write_member_row();
    bool may_renew() const;
    void note_era(store_era era);
    void log_conflicts(const store_transaction& change,
                       const store_answer& answer);
    void read_members();
    void apply_members(const store_answer& answer);
    void remove_expired_vms(const coordinator_term& term);

    // Datagrams: fleet_agent_messages.cpp, fleet_agent_reports.cpp
    void receive();
    void handle_datagram(std::size_t size);
    void handle_report(const coordinator_term& term,
                       const proto::VmReport& report);
    void handle_view(const proto::FleetView& view);
    void use_warmup_permits(const proto::FleetView& view, moment reported);
    void handle_grant_request(const proto::GrantRequest& request);
    void handle_grant_reply(const proto::GrantReply& reply);
    void request_grants();

    // Grants while the coordinator is lost: fleet_agent_deputies.cpp
    void add_deputies(const coordinator_term& term, proto::FleetView& view);
    void use_deputies(const proto::FleetView& view);
    void schedule_handover();
    void hand_over_if_due();
    bool send_handover(const proto::FleetDeputy& to,
                       proto::OperationHandover message);
    void handle_handover(const proto::OperationHandover& handover);
    void handle_handover_reply(const proto::HandoverReply& reply);
    void log_deputies();
    void log_unsent_handovers();

    // Grants, also after the term: fleet_agent_grants.cpp
    bool may_grant();
    void note_term_end(const coordinator_term& term);
    void log_granting(bool after_term);
    void grant_after_term(const proto::VmReport& report);
    void send_grants(const std::string& vm, proto::GrantReply& reply);
    void tell_former_coordinator(std::uint64_t token);
    void send_report();
    void send_view(const coordinator_term& term, const std::string& vm);
    void send_views();
    void send_views_now();
    void add_lead_changes(const std::string& vm, proto::FleetView& view);
    proto::FleetView view_for(const coordinator_term& term,
                              const std::string& vm);
    void report_regularly();
    void schedule_report(milliseconds wait);

    // Coordinator: fleet_agent_coordinator.cpp
    void maintain_coordinator_lease();
    bool update_lease(milliseconds delay);
    bool update_lease_if_due();
    std::optional<coordinator_term> term() const;
    bool is_current(const coordinator_term& term) const;
    bool is_coordinator() const { return term().has_value(); }
    void begin_term(const coordinator_term& term);
    void read_leads_in(const coordinator_term& term);
    void monitor_groups();
    void check_groups();
    void check_group(const coordinator_term& term, const std::string& group);
    void use_lost_leases();
    using operation_body = std::function<void(failover_executor&)>;
    void run_operation(const coordinator_term& term, const std::string& group,
                       operation_body body);
    void start_failover(const coordinator_term& term, const std::string& group,
                        bool planned);
    void start_verification(const coordinator_term& term,
                            const std::string& group);
    void change_primary(failover_executor& executor,
                        const coordinator_term& term, const std::string& group,
                        bool planned);
    bool is_primary_unused(const proto::GroupLead& lead,
                           std::uint64_t seal_version, moment sealed);
    std::vector<backend_server> servers(const std::string& group) const;
    void release_lease();

    store_link make_store(
        milliseconds write_timeout = platform::short_write_timeout) const;
    proto::MemberRow self_row() const;
    static backoff store_backoff();
    void run_fiber(std::function<void()> body);
    void pause(milliseconds time);

    boost::asio::io_context& context_;
    proto::SessionDaemonSettings settings_;
    std::uint64_t life_;
    std::uint64_t cpu_percent_;
    proxy& proxy_;
    structured_log& lines_;
    loop_monitor& monitor_;
    clock now_;
    endpoint_setting store_;
    endpoint_setting promotion_address_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, 65536> datagram_{};
    boost::asio::steady_timer report_timer_;
    boost::asio::steady_timer request_timer_;
    boost::asio::steady_timer views_timer_;
    boost::asio::steady_timer handover_timer_;
    table_watch config_watch_;
    table_watch server_watch_;
    store_link lease_store_;
    store_link removal_store_;
    store_link member_store_;
    member_registration registration_;
    coordinator_lease lease_;
    fleet_coordinator coordinator_;
    allowance_pool pool_;
    deputy_handover handover_;
    count_rise unsent_handovers_rise_;
    told_deputies told_deputies_; ///< as the coordinator
    std::string logged_deputy_;   ///< that this VM uses
    bool logged_serving_ = false; ///< as a deputy
    fleet_members members_;
    moment members_requested_at_{};
    bool members_read_running_ = false;
    bool state_known_ = false;   ///< leads and members have been read
    bool has_restarted_ = false; ///< a former process has written its row
    bool registered_ = false;    ///< this process has written its row
    store_era era_ = 0; ///< newest one that any answer of the store had
    lead_table leads_;
    std::map<std::string, backend_server> servers_;
    std::set<std::string> left_servers_; ///< ids
    held_rows held_servers_;
    evacuations evacuations_;
    group_monitor groups_;
    std::map<std::string, boost::asio::ip::udp::endpoint> peers_;
    std::string config_text_;
    std::uint64_t config_version_ = 0;
    std::uint64_t begun_token_ = 0; ///< of the term that was begun last
    std::uint64_t leads_token_ = 0; ///< of the term that the leads were read in
    bool lease_in_use_ = false;     ///< a call of `lease_` is running
    unsigned promotion_requests_ = 0;  ///< that are running
    moment lease_renewal_begun_{};     ///< of the coordinator lease
    moment primary_renewal_begun_{};   ///< of the primary lease
    bool granting_after_term_ = false; ///< as logged
    moment confirm_from_{}; ///< reports of all VMs have arrived by then
    bool fetching_config_ = false;
    moment report_at_{};               ///< when the report timer fires
    std::optional<moment> request_at_; ///< when the request timer fires
    request_pacing pacing_;
    lasting_condition servers_outdated_; ///< compared to the coordinator's
    lasting_condition config_outdated_;
    bool leaving_ = false;
    bool balances_passed_on_ = false; ///< to the next coordinator
    coordinator_messages messages_;
    std::map<std::string, std::uint64_t> told_epochs_; ///< by the coordinator
    told_revisions told_leads_;        ///< as the coordinator, by VM
    bool views_due_ = false;           ///< the timer of the views is set
    moment views_sent_at_{};           ///< last round of views to all VMs
    bool follows_coordinator_ = false; ///< in place of a watch of the settings
    boost::asio::ip::udp::endpoint coordinator_endpoint_;
    std::uint64_t view_sequence_ = 0; ///< of the last view or reply sent
};

} // namespace tanagerhoist

#endif
