#ifndef TANAGERHOIST_SESSION_CONNECTION_STATE_HPP
#define TANAGERHOIST_SESSION_CONNECTION_STATE_HPP

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace tanagerhoist
{

/// Session values and names of prepared statements that a connection to a
/// server has from the sessions that used it.
class connection_state
{
public:
    const std::map<std::string, std::string>& values() const { return values_; }
    const std::set<std::string>& prepared() const { return prepared_; }

    /// Whether the server may have values and names that are not noted here; a
    /// reset comes before the next use.
    bool is_forgotten() const { return forgotten_; }

    /// Memory that this takes, in bytes.
    std::size_t size() const { return size_; }

    void set_value(const std::string& name, const std::string& value);
    void add_prepared(const std::string& name);
    void clear_prepared();

    /// Notes that the server has dropped all of it.
    void clear();

    /// Frees the memory, while the server keeps all of it.
    void forget();

private:
    std::map<std::string, std::string> values_;
    std::set<std::string> prepared_;
    std::size_t size_ = 0;
    bool forgotten_ = false;
};

/// Bytes of an entry with this name in a map of values or prepared statements.
std::size_t size_of_entry(const std::string& name, const std::string& text);

} // namespace tanagerhoist

#endif
