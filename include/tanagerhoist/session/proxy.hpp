#ifndef TANAGERHOIST_SESSION_PROXY_HPP
#define TANAGERHOIST_SESSION_PROXY_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/structured_log.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/session/backend_server.hpp"
#include "tanagerhoist/session/client_session.hpp"
#include "tanagerhoist/session/position_history.hpp"
#include "tanagerhoist/session/primary_right.hpp"
#include "tanagerhoist/session/proxy_figures.hpp"
#include "tanagerhoist/session/proxy_outlet.hpp"
#include "tanagerhoist/session/server_connection.hpp"
#include "tanagerhoist/session/server_state.hpp"
#include "tanagerhoist/session/session_settings.hpp"
#include "tanagerhoist/session/workspace_limits.hpp"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace tanagerhoist
{

/// All decisions about sessions and their statements on one VM: who may speak,
/// what waits, where it runs, what is answered. Without sockets or clocks:
/// inputs carry their time, and what is to be done goes to the outlet.
///
/// A statement is repeated at another server only if it has provably had no
/// effect; a commit or single write whose answer is missing is answered as an
/// unknown outcome.
class proxy
{
public:
    proxy(std::string data_centre, workspace_limits limits,
          proxy_outlet& outlet, structured_log& lines);
    ~proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;

    /// @name What this VM believes
    /// @{
    void use_settings(moment now,
                      std::shared_ptr<const session_settings> settings);
    void use_servers(moment now, const server_list& servers);
    void use_members(moment now, std::size_t members);
    void use_lead(moment now, const proto::GroupLead& lead);
    void use_grants(moment now, const workspace_limits::grants& given);
    /// @param sent before which the sample's age was not counted
    void use_position(moment sent, const proto::PositionSample& sample);
    void prove_right(moment sent) { right_.prove(sent); }
    /// @}

    /// @name Sessions
    /// @{
    void start_session(moment now, session_id id, const std::string& database,
                       const std::string& key);
    void query(moment now, session_id id, const std::string& query_id,
               statement what);
    void session_gone(moment now, session_id id);
    /// @}

    /// @name Connections to servers
    /// @{
    void connection_opened(moment now, connection_id id,
                           const std::optional<log_position>& position);
    void connection_refused(moment now, connection_id id, session_error error);
    void connection_lost(moment now, connection_id id);
    void server_row(connection_id id, std::string row);
    void server_complete(connection_id id, std::string signature);
    void server_error(connection_id id, session_error error, std::string text);
    void server_ready(moment now, connection_id id, transaction_state state,
                      const std::optional<log_position>& position);
    /// @}

    /// Ends what is out of time; to be called every `tick_interval`.
    void tick(moment now);
    static constexpr milliseconds tick_interval{50};

    /// Idle sessions are ended from `close_idle` on, open transactions at
    /// `end_transactions`.
    void begin_drain(moment close_idle, moment end_transactions);

    bool is_ready(moment now) const;
    std::size_t members() const { return members_; }
    std::size_t sessions() const { return sessions_.size(); }
    bool has_work() const;

    /// Whether a sealed primary still runs something of this VM.
    bool is_ending_use() const;

    /// Takes what this VM tells the holder of the duty.
    void describe(moment now, proto::VmReport& report);

    workspace_limits& limits() { return limits_; }
    const proxy_figures& figures() const { return figures_; }
    const session_settings* settings() const { return settings_.get(); }
    const std::unordered_map<std::string, proto::GroupLead>& leads() const
    {
        return leads_;
    }
    const server_state* server(const std::string& id) const;

private:
    struct group_state
    {
        position_history history;
        std::vector<session_id> waiting;
        moment sealed_at{};
    };
    using session_map = std::unordered_map<session_id, client_session>;

    // Sessions: proxy_sessions.cpp
    bool refresh_route(client_session& session);
    void run_locally(moment now, session_id id, client_session& session);
    bool reject_by_state(moment now, session_id id, client_session& session);
    static void set_value(client_session& session);
    bool rename_execute(client_session& session);
    void begin(moment now, session_id id, client_session& session);
    void open_transaction(moment now, session_id id, client_session& session);
    void end_locally(moment now, session_id id, client_session& session);
    bool admit(moment now, session_id id, client_session& session);
    void give_back(client_session& session);
    void refuse_rate(moment now, session_id id, client_session& session);
    void admit_held(moment now);
    void ask_server(moment now, session_id id, client_session& session);
    void answer_done(moment now, session_id id, client_session& session);
    void answer_error(moment now, session_id id, client_session& session,
                      session_error error, const std::string& text,
                      const std::string& inputs = {});
    void leave_if_idle(moment now, session_id id);
    void end_session(moment now, session_id id,
                     std::optional<session_error> error);
    void drop_transaction(moment now, client_session& session);

    // Placing: proxy_dispatch.cpp
    void dispatch(moment now, const std::string& group);
    bool is_turned_away(moment now, const client_session& session);
    void turn_away(moment now, const std::vector<session_id>& ids);
    bool place(moment now, session_id id, client_session& session);
    bool place_at(moment now, session_id id, client_session& session,
                  server_state& server);
    server_state* usable_primary(moment now, const client_session& session);
    static bool may_read_replica(moment now, const session_request& request,
                                 const server_state& replica);
    server_state* choose_for_read(moment now, client_session& session);
    std::optional<log_position> needed_position(moment now,
                                                const client_session& session);
    bool has_room(moment now, const server_state& server,
                  const client_session& session) const;
    connection_id idle_connection(const std::string& server,
                                  const client_session& session) const;
    connection_id spare_connection(const std::string& server) const;
    unsigned connection_share(const server_state& server) const;
    void open_connection(moment now, server_state& server,
                         const std::string& workspace, session_id owner);
    void run_on(moment now, session_id id, client_session& session,
                connection_id connection);
    void send_next(moment now, connection_id id, server_connection& connection);
    void close_connection(connection_id id);
    void release(moment now, connection_id id, server_connection& connection);
    void write_script(const client_session& session,
                      server_connection& connection);
    void requeue(session_id id, client_session& session,
                 const std::string& avoid);

    // Answers: proxy_answers.cpp
    void finish_statement(moment now, connection_id id,
                          server_connection& connection);
    void finish_own(moment now, connection_id id,
                    server_connection& connection);
    void served(moment now, connection_id id, server_connection& connection,
                client_session& session);
    void refused(moment now, connection_id id, server_connection& connection,
                 client_session& session);
    void lost(moment now, session_id id, client_session& session, bool sent);
    void note_position(moment now, const server_connection& connection,
                       const log_position& position, moment sent);
    bool was_rightful(moment now, const server_connection& connection,
                      const client_session& session) const;
    void note(log_level level, std::string_view event, moment now,
              const client_session& session, std::string_view cause);

    // Beliefs and time: proxy_time.cpp
    void remove_server(moment now, const std::string& id);
    std::vector<connection_id> connections_of(const std::string& server) const;
    void close_idle_at_draining();
    void end_running_at(moment now, const std::string& server, bool writes);
    void drop_running(moment now, connection_id id);
    void dispatch_for(moment now, const std::string& server);
    void refuse_waiting(moment now, session_id id, client_session& session,
                        session_error error, const std::string& text);
    void expire_requests(moment now);
    void end_idle_transactions(moment now);
    void expire_running(moment now, session_id id, client_session& session);
    void watch_silence(moment now);
    void probe_failing_primaries(
        moment now, std::unordered_map<std::string, bool>& silent) const;
    void probe(moment now, const std::string& id);
    void finish_seals(moment now);
    bool runs_at(const std::string& server) const;
    void drain(moment now);

    server_state* find_server(const std::string& id);
    const proto::GroupLead* lead_of(const std::string& group) const;

    std::string data_centre_;
    proxy_outlet& outlet_;
    structured_log& lines_;
    std::shared_ptr<const session_settings> settings_;
    std::unordered_map<std::string, server_state> servers_;
    std::unordered_map<std::string, proto::GroupLead> leads_;
    std::unordered_map<std::string, group_state> groups_;
    session_map sessions_;
    std::unordered_map<connection_id, server_connection> connections_;
    std::vector<session_id> held_; ///< in the order of arrival
    workspace_limits limits_;
    primary_right right_;
    proxy_figures figures_;
    std::size_t members_ = 1;
    connection_id next_connection_ = 1;
    bool draining_ = false;
    moment close_idle_{};
    moment end_transactions_{};
};

} // namespace tanagerhoist

#endif
