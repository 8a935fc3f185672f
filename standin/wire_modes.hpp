#ifndef TANAGERHOIST_STANDIN_WIRE_MODES_HPP
#define TANAGERHOIST_STANDIN_WIRE_MODES_HPP

#include "standin/wire_random.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace tanagerhoist::standin
{

/// A server's answer to one statement.
struct answer_bytes
{
    std::string bytes;
    bool is_error = false;
    bool is_to_proxy = false; ///< to a statement that the proxy added
};

/// What a server writes for one answer, or some time after it.
struct planned_write
{
    milliseconds delay{0};
    std::string bytes;
    bool closes = false;       ///< whether the connection is closed after it
    bool only_if_idle = false; ///< not while a statement is under way
};

using write_plan = std::vector<planned_write>;

/// How servers and clients misbehave in a run, and what their data is.
struct wire_mode
{
    const char* name;

    /// Returns what is written for an answer.
    write_plan (*plan)(const answer_bytes& answer, wire_random& random);
    bool any_bytes = false; ///< data of any bytes but CR LF in a row
    bool pieces = false;    ///< all is sent in pieces of a few bytes
    bool fails = false;     ///< some statements fail
    bool same_rows = false; ///< reads of an item always have the same rows
    bool status = false;    ///< `STATUS` is answered like all else
    bool restarts = false;  ///< the daemon is stopped and started meanwhile
};

/// Returns the mode with this name, or null.
const wire_mode* find_wire_mode(std::string_view name);

} // namespace tanagerhoist::standin

#endif
