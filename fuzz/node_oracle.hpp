#ifndef TANAGERHOIST_FUZZ_NODE_ORACLE_HPP
#define TANAGERHOIST_FUZZ_NODE_ORACLE_HPP

#include "standin/fleet.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tanagerhoist::fuzz
{

/// Expected outcome of a write, derived from the replies to its calls.
struct write_record
{
    std::string database;
    std::string key;
    /// Each unique; the write appends them to `key`.
    std::vector<std::string> markers;
    unsigned calls = 0;
    /// Calls whose outcome was "not run" or "caller error".
    unsigned rejected = 0;
    bool acknowledged = false;
    proto::LogPoint point; ///< from the token of the acknowledgement
};

/// Reference model for the state test. Records in plain maps what callers were
/// told and compares it with the resulting state of the databases, connections
/// and settings.
class node_oracle
{
public:
    explicit node_oracle(standin::fleet& fleet) : fleet_(fleet) {}

    void on_action(const std::string& vm, const proto::Action& action);
    void on_event(const proto::Event& event);
    /// Records the settings that the head row refers to now.
    void record_settings(const proto::Settings& settings);
    /// Records the workspace that `request_id` belongs to.
    void record_request(const std::string& request_id,
                        const std::string& workspace);
    /// Forgets the settings version of a VM that starts again.
    void record_vm_start(const std::string& vm) { versions_.erase(vm); }
    /// Compares the server logs with the replies; call it after all faults have
    /// ended.
    void check_logs();
    void fail(const std::string& what) { failures_.push_back(what); }

    std::map<std::string, write_record> writes;        ///< by request id
    std::set<std::string> rolled_back_markers;         ///< must not be in a log
    std::map<std::uint64_t, proto::Settings> settings; ///< by version

    /// First violation found, if any.
    std::optional<std::string> failure() const;

private:
    struct leaky_bucket
    {
        double level = 0;
        moment at{};
    };
    /// VM with its incarnation, and request id.
    using admission = std::pair<std::string, std::string>;

    void check_database_call(const std::string& vm,
                             const proto::CallDatabase& call);
    void check_secrets(const proto::Action& action);
    void check_entry(const std::string& database, const std::string& id,
                     const write_record& record);
    /// Highest rate of the workspace, in requests per second, over the settings
    /// versions that VMs may still use.
    double max_active_rate(const std::string& workspace) const;
    std::uint64_t oldest_active_version() const;
    void drain_bucket(const std::string& workspace, leaky_bucket& bucket) const;
    bool is_leaving(const std::string& vm, const std::string& server) const;
    std::string log_text(const std::string& database) const;

    standin::fleet& fleet_;
    std::vector<std::string> failures_;
    std::map<std::string, std::string> workspace_of_; ///< by request id
    std::map<std::string, std::uint64_t> versions_;   ///< by VM
    std::map<std::string, leaky_bucket> buckets_;     ///< by workspace
    std::map<admission, unsigned> admitted_;
};

/// Settings of the fleet in the state test.
proto::Settings test_settings();

/// Key in `test_settings` and the workspace that it belongs to.
struct test_key
{
    const char* id;
    const char* secret;
    const char* workspace;
};
inline constexpr std::array<test_key, 3> test_keys{
    {{"k0", "secret-zero", "w0"},
     {"k1", "secret-one", "w1"},
     {"k2", "secret-two", "w1"}}};

/// The key in the form in which callers send it.
inline std::string credential_of(const test_key& key)
{
    return std::string(key.id) + "." + key.secret;
}

} // namespace tanagerhoist::fuzz

#endif
