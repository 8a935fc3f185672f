#ifndef TANAGERHOIST_STANDIN_WIRE_EXECUTION_HPP
#define TANAGERHOIST_STANDIN_WIRE_EXECUTION_HPP

#include "standin/wire_ledger.hpp"
#include "standin/wire_modes.hpp"
#include "standin/wire_text.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerhoist::standin
{

/// What the servers of a group have in common. All logs are equal at all times.
struct wire_group
{
    boost::asio::io_context& context;
    const wire_mode& mode;
    wire_ledger& ledger;
    wire_random random;
    wire_data data{random, mode.any_bytes};
    std::uint64_t term = 1;
    std::uint64_t commits = 1; ///< number of the newest commit
    std::uint64_t connections = 0;
    std::uint64_t signatures = 0;

    std::string position() const;
};

/// A statement as a server reads it.
struct read_statement
{
    std::string id;
    std::string text; ///< without the position that it may start with
    std::string word;
    std::string rest;

    bool is_of_proxy() const { return id == "-"; }
};

/// Parses a `QUERY`.
read_statement parse_query(std::string_view line);

/// Runs the statements of one connection: its values, prepared statements and
/// transaction.
class wire_execution
{
public:
    /// @param primary whether the server takes writes
    wire_execution(wire_group& group, std::string server, bool primary,
                   std::uint64_t connection);

    /// Runs a statement to its end.
    wire_answer run(const read_statement& what);

private:
    /// A transaction that the proxy has begun here.
    struct transaction
    {
        std::uint64_t number = 0; ///< the client's; 0: not known yet
        bool reads_only = false;
        bool failed = false;
        std::vector<std::string> writes; ///< ids
    };

    std::string state() const;
    server_view view_of(const read_statement& what) const;
    std::string shape_of(const read_statement& what) const;
    bool is_write(const read_statement& what) const;
    wire_answer run_added(const read_statement& what);
    wire_answer run_sent(const read_statement& what);
    wire_answer status() const;
    void change(const read_statement& what, wire_answer& answer);
    void begin(const read_statement& what, wire_answer& answer);
    void read_item(const read_statement& what, wire_answer& answer);
    std::vector<std::string> rows_of(const read_statement& what);
    void write_item(const read_statement& what, wire_answer& answer);
    void commit(wire_answer& answer);
    bool fails();
    std::string next_signature();

    wire_group& group_;
    std::string server_;
    bool primary_;
    std::uint64_t connection_;
    session_values values_;
    prepared_names prepared_;
    std::optional<transaction> transaction_;
};

} // namespace tanagerhoist::standin

#endif
