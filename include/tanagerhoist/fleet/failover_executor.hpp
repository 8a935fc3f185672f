#ifndef TANAGERHOIST_FLEET_FAILOVER_EXECUTOR_HPP
#define TANAGERHOIST_FLEET_FAILOVER_EXECUTOR_HPP

#include "fleet.pb.h"
#include "tanagerhoist/core/structured_log.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/fleet/lead_table.hpp"
#include "tanagerhoist/fleet/promotion_request.hpp"
#include "tanagerhoist/fleet/row_store.hpp"
#include "tanagerhoist/session/backend_server.hpp"
#include "tanagerhoist/session/log_position.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Role of a server in its group, as the server reports it.
struct server_role
{
    bool primary = false;
    std::uint64_t term = 0; ///< newest term known to the server
    log_position received;  ///< end of its log
};

/// Operations that a failover needs from its environment, in the name of the
/// coordinator's term in which it was begun. Calls may suspend the calling
/// fiber; those that change something do nothing once the term is over.
class failover_port
{
public:
    virtual ~failover_port() = default;

    virtual moment now() = 0;
    virtual void pause(milliseconds time) = 0;

    /// Whether the term still runs, with time left for a call.
    virtual bool is_coordinator() = 0;

    /// Whether a promotion may be requested now; if not, soon, or the term
    /// ends.
    virtual bool may_order() = 0;

    /// Present era of the store.
    virtual store_era era() = 0;

    /// Writes the group's row if it still has `version`.
    virtual store_answer write_lead(const proto::GroupLead& lead,
                                    std::uint64_t version) = 0;

    /// Whether no VM uses the sealed primary any more.
    virtual bool is_primary_unused(const proto::GroupLead& lead,
                                   std::uint64_t seal_version,
                                   moment sealed) = 0;

    /// Listed servers of a group.
    virtual std::vector<backend_server> servers(const std::string& group) = 0;
    virtual unsigned synchronous_replicas(const std::string& group) = 0;
    virtual std::optional<server_role> role(const backend_server& server) = 0;

    /// Demotes the server to a replica if it is a primary of a term below
    /// `term`.
    virtual std::optional<server_role> demote(const backend_server& server,
                                              std::uint64_t term) = 0;

    /// Reports that the sealed primary accepted no commits when a call sent at
    /// `confirmed` reached it, and that its log ended at `end`. Reads can use
    /// this position until the successor is published.
    virtual void confirm_log_end(const proto::GroupLead& lead,
                                 const log_position& end, moment confirmed) = 0;

    /// Requests a promotion, unless the term is over, or nearly over, when it
    /// can be sent.
    virtual promotion_result request_promotion(const std::string& group,
                                               const std::string& server) = 0;
};

/// Replaces a group's primary: seals the old primary for all VMs, waits until
/// no VM uses it, requests the promotion of the most up-to-date server and
/// publishes the result to all VMs. Another VM can resume after any step from
/// the group's row alone.
class failover_executor
{
public:
    failover_executor(failover_port& port, structured_log& lines);

    /// Replaces the primary of a group.
    /// @param planned the old primary is running and being drained, so that no
    ///   commit may be lost
    /// @return the group's new row; nothing if no primary was found in time, or
    ///   if the lease or the row was lost to another VM
    std::optional<group_lead_row> change_primary(group_lead_row row,
                                                 bool planned);

    /// Whether the lead's primary says that it is a replica.
    bool is_primary_demoted(const proto::GroupLead& lead);

    /// Writes a lead that is from before the store came back older anew. If the
    /// servers show a primary of a later term, whose lead is lost, it is
    /// written as sealed, to be replaced.
    std::optional<group_lead_row> confirm_lead(group_lead_row row);

    /// Writes the first row of a group from the roles that its servers report.
    std::optional<group_lead_row> create_lead(const std::string& group);

private:
    /// What counts when a server is chosen for promotion.
    struct candidate
    {
        log_position log_end;
        bool draining = false;
        bool diverged = false; ///< holds commits that were taken back
    };

    /// What the servers of a group have answered, but for the old primary.
    struct candidate_answers
    {
        std::optional<std::string> best;
        candidate best_candidate;
        /// The primary of the newest term, if any.
        std::optional<std::string> promoted;
        std::uint64_t promoted_term = 0;
        log_position newest_refused; ///< of servers that are not eligible
        bool all_answered = true; ///< but for those in evacuated data centres
        bool all_evacuated_answered = true;
    };

    static bool is_better(const candidate& one, const candidate& other,
                          bool synchronous);
    candidate_answers ask_candidates(const proto::GroupLead& lead,
                                     const std::set<std::string>& ineligible);
    void note_diverged(const proto::GroupLead& lead, const std::string& server,
                       const log_position& log_end);
    std::uint64_t next_epoch(const proto::GroupLead& lead);
    bool has_later_primary(const proto::GroupLead& lead);
    bool seal(group_lead_row& row);
    bool write(group_lead_row& row, const proto::GroupLead& lead);
    bool wait_until_unused(const group_lead_row& row, moment sealed);
    bool wait_until_order_allowed();
    void demote_old_primary(const proto::GroupLead& lead);
    std::optional<std::string>
    choose_server(const proto::GroupLead& lead,
                  const std::set<std::string>& ineligible);
    std::optional<std::string>
    choose_candidate(const proto::GroupLead& lead,
                     const std::set<std::string>& ineligible);
    std::optional<server_role> promote(const backend_server& server,
                                       const proto::GroupLead& lead,
                                       std::set<std::string>& ineligible);
    std::optional<std::string>
    reachable_old_primary(const proto::GroupLead& lead);
    std::optional<server_role> wait_for_primary(const backend_server& server,
                                                milliseconds limit);
    std::optional<group_lead_row> publish_primary(group_lead_row row,
                                                  const backend_server& server,
                                                  const server_role& role);
    std::optional<backend_server> find(const std::string& group,
                                       const std::string& id);

    failover_port& port_;
    structured_log& lines_;
    /// Log end of the demoted primary.
    std::optional<log_position> old_log_end_;
    std::uint64_t newest_term_ = 0; ///< that any server has told
    /// Term that the old primary leads, if it has been promoted again.
    std::optional<std::uint64_t> old_primary_term_;
    std::set<std::string> diverged_; ///< servers, as logged
    moment next_demotion_at_{};
    /// Server whose promotion was requested and may still happen.
    std::optional<std::string> pending_;
};

} // namespace tanagerhoist

#endif
