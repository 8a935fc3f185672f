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

/// What must have become of a write, by the answers to its calls.
struct write_record
{
    std::string database;
    std::string key;
    std::vector<std::string> markers; ///< each unique; appended to `key`
    unsigned calls = 0;
    unsigned rejected = 0; ///< calls answered "not run" or "caller error"
    bool acknowledged = false;
    proto::LogPoint point; ///< in the token of the acknowledgement
};

/// What every run must keep to: plain maps of what callers were told, held
/// against what databases, connections and settings came to hold.
class node_oracle
{
public:
    explicit node_oracle(standin::fleet& fleet) : fleet_(fleet) {}

    void on_action(const std::string& vm, const proto::Action& action);
    void on_event(const proto::Event& event);
    /// Tells of the settings that the head names now.
    void record_settings(const proto::Settings& settings);
    /// Tells who may send `request_id`.
    void record_request(const std::string& request_id,
                        const std::string& workspace);
    void record_vm_start(const std::string& vm) { versions_.erase(vm); }
    /// Compares the logs of a healed fleet with the answers.
    void check_logs();
    void fail(const std::string& what) { failures_.push_back(what); }

    std::map<std::string, write_record> writes; ///< by request id
    std::set<std::string> rolled_back_markers;  ///< marks of no transaction
    std::map<std::uint64_t, proto::Settings> settings; ///< by version

    /// First thing found wrong, if any.
    std::optional<std::string> failure() const;

private:
    struct leaky_bucket
    {
        double level = 0;
        moment at{};
    };
    using admission = std::pair<std::string, std::string>;

    void check_database_call(const std::string& vm,
                             const proto::CallDatabase& call);
    void check_secrets(const proto::Action& action);
    void check_entry(const std::string& database, const std::string& id,
                     const write_record& record);
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

/// Settings of the fleet that the state test runs.
proto::Settings test_settings();

/// Keys of `world_settings`, with the workspace that each acts for.
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

inline std::string credential_of(const test_key& key)
{
    return std::string(key.id) + "." + key.secret;
}

} // namespace tanagerhoist::fuzz

#endif
