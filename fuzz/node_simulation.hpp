#ifndef TANAGERHOIST_FUZZ_NODE_SIMULATION_HPP
#define TANAGERHOIST_FUZZ_NODE_SIMULATION_HPP

#include "fuzz/node_oracle.hpp"
#include "standin/fleet.hpp"

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace tanagerhoist::fuzz
{

/// A random command; `kind` determines the meaning of `a` and `b`.
struct command
{
    std::uint32_t kind = 0;
    std::uint32_t a = 0;
    std::uint32_t b = 0;
};

/// Time that a fleet needs to reach a steady state after its start or after the
/// end of all faults.
inline constexpr milliseconds settle_time{3000};

inline const std::vector<std::string> vms{"vm1", "vm2", "vm3"};

/// Whether the reply says that the request had no effect.
bool had_no_effect(const proto::CallerReply& reply);

std::ostream& operator<<(std::ostream& os, const command& c);

/// A session that sends one request at a time and keeps its token when it
/// moves to another VM.
struct session
{
    std::string name;
    std::size_t key = 0;
    std::string vm;
    std::map<std::string, std::uint64_t> callers; ///< by VM
    proto::SessionToken token;
    bool busy = false;
    /// Deadline of its next requests; 0: that of the route.
    std::uint64_t deadline_ms = 0;
    /// Markers of its acknowledged writes, by database and key.
    std::map<std::string, std::map<std::string, std::vector<std::string>>>
        own_writes;
    std::string transaction; ///< id of the open transaction, if any
    std::string database;    ///< of the open transaction
    write_record pending;    ///< writes of the open transaction
    proto::CallerRequest last_write;
};

/// A simulated fleet of three VMs under random requests and faults.
class node_simulation
{
public:
    node_simulation();

    void run(const command& c);

    /// Ends all faults, waits for recovery and checks the final state.
    void finish();

    static const char* kind_name(std::uint32_t kind);
    static std::uint32_t kind_count();

private:
    using step = void (node_simulation::*)(const command&);
    struct step_entry
    {
        const char* name;
        step run;
    };
    static const std::vector<step_entry>& steps();

    // Requests.
    void read(const command& c);
    void write(const command& c);
    void begin_transaction(const command& c);
    void continue_transaction(const command& c);
    void commit_transaction(const command& c);
    void roll_back_transaction(const command& c);
    void repeat_write(const command& c);
    void move_session(const command& c);
    void burst(const command& c);
    void write_then_read(const command& c);
    void write_and_cut(const command& c);

    // Faults.
    void kill_vm(const command& c);
    void freeze_vm(const command& c);
    void cut_vm(const command& c);
    void cut_replicas(const command& c);
    void kill_server(const command& c);
    void platform_fault(const command& c);
    void peer_faults(const command& c);
    void drain_vm(const command& c);
    void set_lag(const command& c);
    void heal(const command& c);
    void wait(const command& c);

    // Settings.
    void change_settings(const command& c);
    void publish_concurrently(const command& c);
    void decommission_while_waiting(const command& c);
    void withdraw_key(const command& c);

    void heal_all();
    void check();
    session& select_session(const command& c);
    std::uint64_t connected_caller(session& from);
    proto::CallerRequest make_request(session& from, const std::string& route,
                                      const std::string& statement);
    void send(session& from, const proto::CallerRequest& request,
              const standin::fleet::answer_handler& done);
    void send_write(session& from, const proto::CallerRequest& request);
    void on_write(session& from, const std::string& id,
                  const proto::CallerReply* reply);
    void on_transaction_step(session& from, const std::string& marker,
                             const proto::CallerReply* reply);
    void discard_transaction(session& from);
    void merge_token(session& from, const proto::CallerReply& reply);
    void record_settings_head();
    proto::Settings changed_settings(const command& c) const;
    std::string select_vm(std::uint32_t number) const;
    std::string select_server(std::uint32_t number) const;
    void check_service();
    void check_key_is_rejected();

    standin::fleet fleet_;
    node_oracle oracle_;
    std::vector<session> sessions_;
    std::uint64_t next_id_ = 1;
    std::uint64_t head_ = 0;
};

} // namespace tanagerhoist::fuzz

#endif
