#ifndef TANAGERHOIST_SESSION_ANSWER_HISTORY_HPP
#define TANAGERHOIST_SESSION_ANSWER_HISTORY_HPP

#include "tanagerhoist/session/proxy_transport.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Why what a server sent is not the answer to the statement that its
/// connection runs.
enum class answer_fault
{
    none,
    unasked,       ///< no statement is outstanding
    out_of_order,  ///< a line that can't follow the lines before it
    incomplete,    ///< it ends without a result
    not_signed,    ///< a result without the signature that it needs
    repeated,      ///< its signature was given before
    wrong_state,   ///< a transaction state that the statement can't have
    wrong_rows,    ///< rows of a statement that has none
    doubtful_rows, ///< rows that may belong to an earlier answer
    doubtful_error ///< an error that may belong to an earlier answer
};

/// Number of enumerators of `answer_fault`.
constexpr std::size_t answer_faults = 10;

const char* to_text(answer_fault fault);

/// Why rows may belong to an earlier answer to another statement. A part of
/// that answer, cut anywhere, may have come before the statement's own.
enum class row_doubt
{
    none,
    same_rows,      ///< they are that answer's rows
    same_first_row, ///< they contain its first row
    cut_row ///< their first one may be its first one, cut, and another row
};

/// Rows that may belong to an earlier answer.
struct doubtful_rows
{
    row_doubt why = row_doubt::none;
    std::uint64_t first_row = 0; ///< hash of that answer's first row
};

/// First rows that a server is known to give for different statements.
class recurring_rows
{
public:
    /// @param first_row its hash
    void add(std::uint64_t first_row)
    {
        if (rows_.size() < most_rows)
        {
            rows_.insert(first_row);
        }
        else
        {
            all_ = true; // its rows recur in general
        }
    }
    bool contains(std::uint64_t first_row) const
    {
        return all_ || rows_.count(first_row) != 0;
    }

private:
    static constexpr std::size_t most_rows = 256;

    std::set<std::uint64_t> rows_;
    bool all_ = false;
};

/// What a statement allows its answer to be.
struct expected_answer
{
    bool is_signed = false; ///< a success has a signature
    bool may_have_rows = false;
    transaction_state state = transaction_state::none; ///< after a success
    std::uint64_t statement = 0; ///< hash of the text, to compare rows by
};

/// The answers that a connection to a server has given. Answers name no
/// statement, so a repeated one is told from the answer to the current
/// statement by what it repeats: a signature stands for one run. An error has
/// none; one that was given before, with the same text and position, may be a
/// repeated one.
class answer_history
{
public:
    /// Compares a complete answer with the statement and the answers before.
    /// Rows are compared last: with `doubtful_rows` all else fits.
    /// @param known rows that recur at the server, which are not doubtful
    answer_fault check(const expected_answer& expected,
                       const session_answer& answer,
                       const recurring_rows& known) const;

    /// Notes an answer that was taken.
    void add(const expected_answer& expected, const session_answer& answer);

    /// Whether a success is a whole answer that was given before, with nothing
    /// of another answer in it: it has that answer's signature and rows, or
    /// neither.
    bool is_exact_repeat(const session_answer& answer) const;

    /// What makes the rows of a success doubtful.
    doubtful_rows doubt_of(const expected_answer& expected,
                           const session_answer& answer,
                           const recurring_rows& known) const;

    /// Notes a success that was not taken, to know it if it comes again.
    void add_untaken(const session_answer& answer);

    /// Whether an error was taken, which a server may repeat. A further error
    /// then does not prove that the statement did not run.
    bool has_errors() const { return !errors_.empty(); }

    /// Whether an answer with rows was taken.
    bool has_rows() const { return row_notes_ != 0; }

    /// Whether the connection has given as many answers as are remembered.
    bool is_full() const
    {
        return successes_.size() + errors_.size() >= most_results;
    }

private:
    static constexpr std::size_t most_results = 1024;
    static constexpr std::size_t most_row_notes = 16;

    /// A success with a signature; hashes.
    struct success_note
    {
        std::uint64_t signature = 0;
        std::uint64_t rows = 0;
    };

    /// Rows of an earlier answer; hashes, and how the first row begins.
    struct row_note
    {
        std::uint64_t statement = 0;
        std::uint64_t first_row = 0;
        std::uint64_t rows = 0;
        std::string begin;
    };

    bool is_repeated_error(const session_answer& answer) const;
    const success_note* find_success(const session_answer& answer) const;
    bool may_hold_cut_row(const session_answer& answer) const;
    static bool begins_like(const session_answer& answer, const row_note& note);

    std::vector<success_note> successes_;
    std::vector<std::uint64_t> errors_; ///< hashes
    std::array<row_note, most_row_notes> rows_{};
    std::size_t row_notes_ = 0; ///< in total; the oldest are replaced
};

/// Hash of an answer's rows.
std::uint64_t hash_of_rows(const session_answer& answer);

} // namespace tanagerhoist

#endif
