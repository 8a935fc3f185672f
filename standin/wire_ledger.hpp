#ifndef TANAGERHOIST_STANDIN_WIRE_LEDGER_HPP
#define TANAGERHOIST_STANDIN_WIRE_LEDGER_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace tanagerhoist::standin
{

/// What a run must not show.
enum class wire_check
{
    mixed,   ///< a success without the server's signature for it, or other rows
    unasked, ///< a server runs what no client sent
    twice,   ///< a write in effect twice
    refused, ///< a write in effect that was answered with a promise
    lost,    ///< an acknowledged write without effect
    pinned,  ///< run in another's transaction, or with other values or shapes
    broken,  ///< a session closed while a statement is under way, or silent
    surplus, ///< a line to a client that has nothing outstanding
    state    ///< a state that the client's statements can't have
};

constexpr std::size_t wire_checks = 9;

/// A prepared statement as `PREPARE` names it: mode, blank, shape.
using prepared_names = std::map<std::string, std::string>;
using session_values = std::map<std::string, std::string>;

/// A statement that a client sent.
struct sent_statement
{
    std::string text;
    std::size_t client = 0;
    std::uint64_t transaction = 0; ///< 0: outside
    bool writes = false;
    session_values values; ///< acknowledged to the client
    std::string shape;     ///< of the prepared statement that it executes
};

/// An answer without its line ends.
struct wire_answer
{
    std::vector<std::string> rows;
    std::string signature;
    std::string error; ///< code; empty: success
    std::string text;  ///< of the error
    std::string state;
};

/// A server's connection as a statement finds it.
struct server_view
{
    std::string server;
    std::uint64_t connection = 0;
    bool in_transaction = false;
    std::uint64_t transaction = 0; ///< client's; 0: not known yet
    session_values values;
    std::string shape; ///< of the prepared statement that it executes
};

/// Compares what clients send and get with what servers run. Keeps the first
/// broken cases in full.
class wire_ledger
{
public:
    /// @param most_cases how many broken cases of each check are kept
    explicit wire_ledger(std::size_t most_cases) : most_cases_(most_cases) {}

    std::uint64_t next_transaction() { return ++transactions_; }

    void note_sent(const std::string& id, sent_statement statement);

    /// Checks the answer to a client's statement.
    void note_answer(const std::string& id, const wire_answer& answer);

    /// Checks a statement at a server, before it runs.
    /// @param text as received, without its position
    /// @return its transaction; 0: outside, or no client has sent it
    std::uint64_t note_arrival(const std::string& id, std::string_view text,
                               const server_view& at);

    /// Notes how a statement ended at a server.
    void note_run(const std::string& id, const server_view& at,
                  const wire_answer& answer);

    /// Notes that a client's write has taken effect.
    void note_effect(const std::string& id);

    /// Whether a client's statement has arrived at a server.
    bool has_arrived(const std::string& id) const;

    /// Notes bytes on a server's connection, for the cases.
    void note_bytes(std::uint64_t connection, std::string_view direction,
                    std::string_view bytes);

    /// Counts something that breaks no check.
    void count(const std::string& what) { ++counts_[what]; }

    void add_case(wire_check check, const std::string& id,
                  const std::string& why);

    /// Checks effects; nothing runs any more.
    void finish();

    bool is_broken() const;
    std::size_t count_of(const std::string& what) const;

    /// All counts as one line, without its end.
    std::string summary() const;

    /// The kept broken cases, each with all that is known in the end.
    std::vector<std::string> cases() const;

private:
    static constexpr std::size_t kept_bytes = 12; // messages of a connection

    struct run_note
    {
        std::string server;
        std::uint64_t connection = 0;
        wire_answer answer;
    };

    struct statement_note
    {
        std::optional<sent_statement> sent;
        std::uint64_t connection = 0;     ///< where it arrived last; 0: nowhere
        std::vector<std::string> arrived; ///< texts
        std::vector<run_note> runs;
        std::size_t effects = 0;
        std::optional<wire_answer> answer;
    };

    struct broken_case
    {
        std::string id;
        std::string text; ///< as known when it was found
    };

    struct transaction_note
    {
        std::uint64_t connection = 0;
        std::string first; ///< id of its first statement at a server
        std::vector<std::string> writes; ///< ids
        bool promised = false;           ///< one was answered with a promise
        bool committed = false;          ///< acknowledged
    };

    void check_text(const std::string& id, const statement_note& note,
                    std::string_view text);
    void check_place(const std::string& id, const statement_note& note,
                     const server_view& at);
    void check_success(const std::string& id, const statement_note& note);
    void check_effect(const std::string& id, const statement_note& note);
    std::string describe(const std::string& id) const;
    std::string bytes_of(const std::string& id) const;

    std::size_t most_cases_;
    std::uint64_t transactions_ = 0;
    std::map<std::string, statement_note> statements_;
    std::map<std::uint64_t, transaction_note> transactions_noted_;
    std::map<std::uint64_t, std::deque<std::string>> bytes_;
    std::map<std::string, std::size_t> counts_;
    std::size_t broken_[wire_checks] = {};
    std::vector<broken_case> cases_;
};

/// The text with the name of an `EXECUTE` removed; clients' names are replaced
/// on the way to a server.
std::string without_prepared_name(std::string_view text);

/// Whether an error promises that nothing is kept.
bool is_promise(const std::string& error);

} // namespace tanagerhoist::standin

#endif
