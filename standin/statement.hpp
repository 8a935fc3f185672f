#ifndef TANAGERHOIST_STANDIN_STATEMENT_HPP
#define TANAGERHOIST_STANDIN_STATEMENT_HPP

#include <map>
#include <optional>
#include <string>

namespace tanagerhoist::standin
{

/// Contents of a database: values by key.
using key_value_store = std::map<std::string, std::string>;

/// A store together with changes that are not yet part of it.
class store_view
{
public:
    explicit store_view(const key_value_store& base);

    /// Value of `key`, changed or not; empty if absent.
    std::optional<std::string> find(const std::string& key) const;

    void put(const std::string& key, std::string value);

    /// Lines `key=value`, in order, of the keys that begin with `prefix`.
    std::string scan(const std::string& prefix) const;

    const key_value_store& changes() const { return changes_; }

private:
    const key_value_store& base_;
    key_value_store changes_;
};

/// What came of one statement.
struct evaluation
{
    std::string value;
    std::string error; ///< empty unless the statement was refused
};

/// Runs `statement` on `view`. The statements are
///
///     GET key            value, empty if absent
///     SCAN prefix        lines key=value
///     PUT key value      sets; answers the value
///     APPEND key value   appends; answers the new value
///     BOOK key value     sets a key that is absent, else is refused
///
/// @param may_write whether statements that change something are accepted
evaluation evaluate(const std::string& statement, bool may_write,
                    store_view& view);

} // namespace tanagerhoist::standin

#endif
