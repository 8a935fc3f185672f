#ifndef TANAGERHOIST_STANDIN_WIRE_SCRIPT_HPP
#define TANAGERHOIST_STANDIN_WIRE_SCRIPT_HPP

#include "standin/wire_ledger.hpp"
#include "standin/wire_text.hpp"

#include <deque>
#include <string>
#include <vector>

namespace tanagerhoist::standin
{

/// Next step of a client.
struct client_step
{
    enum class kind
    {
        statement,
        end,  ///< ends the session as the page says, and opens another
        leave ///< closes the connection, and opens another
    };
    kind what = kind::statement;
    std::string text;
};

/// Values and prepared statements as acknowledged to a client.
struct client_state
{
    session_values values;
    prepared_names prepared;
};

/// Draws a client's operations. Names collide between clients.
class wire_script
{
public:
    wire_script(wire_random& random, wire_data& data);

    /// Steps of the next operation.
    std::deque<client_step> next_operation(const client_state& state);

private:
    std::string item();
    std::string read();
    std::string write();
    std::string set();
    std::string prepare();
    std::string execute(const client_state& state, bool may_write);
    std::string deallocate(const client_state& state);
    std::string inner_statement(const client_state& state, bool reads_only);
    std::deque<client_step> transaction(const client_state& state);

    wire_random& random_;
    wire_data& data_;
    std::vector<std::string> items_;
    std::vector<std::string> names_;
    std::vector<std::string> shapes_;
};

/// Notes an acknowledged statement in the client's state.
void note_acknowledged(client_state& state, const std::string& text);

/// Whether a statement writes, given the client's prepared statements.
bool writes(const client_state& state, const std::string& text);

/// Mode and shape of the prepared statement that an `EXECUTE` names; empty for
/// other statements.
std::string executed_shape(const client_state& state, const std::string& text);

} // namespace tanagerhoist::standin

#endif
