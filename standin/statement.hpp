#ifndef TANAGERHOIST_STANDIN_STATEMENT_HPP
#define TANAGERHOIST_STANDIN_STATEMENT_HPP

#include <map>
#include <optional>
#include <string>

namespace tanagerhoist::standin
{

/// Contents of a database.
using key_value_store = std::map<std::string, std::string>;

/// A store overlaid with uncommitted changes.
class store_view
{
public:
    explicit store_view(const key_value_store& base);

    /// Current value of `key`, including changes; empty if absent.
    std::optional<std::string> find(const std::string& key) const;

    void put(const std::string& key, std::string value);

    /// The keys that start with `prefix`, in order, as lines `key=value`.
    std::string scan(const std::string& prefix) const;

    const key_value_store& changes() const { return changes_; }

private:
    const key_value_store& base_;
    key_value_store changes_;
};

/// Result of one statement.
struct evaluation
{
    std::string value;
    std::string error; ///< empty unless the statement was rejected
};

/// Runs `statement` on `view`. Supported statements:
///
///     GET key            returns the value, empty if absent
///     SCAN prefix        returns lines key=value
///     PUT key value      sets the value and returns it
///     APPEND key value   appends and returns the new value
///     BOOK key value     sets the value; rejected if the key exists
///
/// @param may_write whether statements that write are accepted
evaluation evaluate(const std::string& statement, bool may_write,
                    store_view& view);

} // namespace tanagerhoist::standin

#endif
