#include "tanagerhoist/session/answer_history.hpp"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <string>

namespace tanagerhoist
{
namespace
{

/// Signature of a result that no run at a server stands for.
constexpr const char* no_signature = "-";

std::uint64_t hash_of(const std::string& text, std::uint64_t seed = 0)
{
    return XXH64(text.data(), text.size(), seed);
}

/// Hash of an error with all that its answer tells.
std::uint64_t hash_of_error(const session_answer& answer)
{
    auto hash = hash_of(answer.text, static_cast<std::uint64_t>(*answer.error));
    hash =
        hash_of(answer.position ? std::to_string(answer.position->term) + '.' +
                                      std::to_string(answer.position->number)
                                : std::string(no_signature),
                hash);
    return hash + static_cast<std::uint64_t>(answer.state);
}

/// Longest begin of a row that is compared with others, in bytes.
constexpr std::size_t most_row_begin = 32;

/// Begin of a row's line, which may be cut within its end.
std::string begin_of(const std::string& row)
{
    return row.substr(0, most_row_begin) + '\r';
}

bool contains(const std::vector<std::uint64_t>& hashes, std::uint64_t hash)
{
    return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

} // namespace

const char* to_text(answer_fault fault)
{
    constexpr std::array<const char*, answer_faults> texts{
        "none",          "unasked",       "out_of_order", "incomplete",
        "not_signed",    "repeated",      "wrong_state",  "wrong_rows",
        "doubtful_rows", "doubtful_error"};
    return texts.at(static_cast<std::size_t>(fault));
}

std::uint64_t hash_of_rows(const session_answer& answer)
{
    std::uint64_t hash = answer.rows.size();
    for (const auto& row : answer.rows)
    {
        hash = hash_of(row, hash);
    }
    return hash;
}

answer_fault answer_history::check(const expected_answer& expected,
                                   const session_answer& answer,
                                   const recurring_rows& known) const
{
    if (!answer.has_result())
    {
        return answer_fault::incomplete;
    }
    if (answer.error)
    {
        return is_repeated_error(answer) ? answer_fault::doubtful_error
                                         : answer_fault::none;
    }
    if (find_success(answer) != nullptr)
    {
        return answer_fault::repeated;
    }
    if (expected.is_signed && answer.signature == no_signature)
    {
        return answer_fault::not_signed;
    }
    if (answer.state != expected.state)
    {
        return answer_fault::wrong_state;
    }
    if (!answer.rows.empty() && !expected.may_have_rows)
    {
        return answer_fault::wrong_rows;
    }
    return doubt_of(expected, answer, known).why == row_doubt::none
               ? answer_fault::none
               : answer_fault::doubtful_rows;
}

bool answer_history::is_repeated_error(const session_answer& answer) const
{
    return contains(errors_, hash_of_error(answer));
}

bool answer_history::is_exact_repeat(const session_answer& answer) const
{
    if (answer.signature == no_signature)
    {
        return answer.rows.empty();
    }
    const auto* success = find_success(answer);
    return success != nullptr && success->rows == hash_of_rows(answer);
}

/// Finds the earlier answer with this signature; null: none.
const answer_history::success_note*
answer_history::find_success(const session_answer& answer) const
{
    const auto signature = hash_of(answer.signature);
    const auto found = std::find_if(successes_.begin(), successes_.end(),
                                    [signature](const success_note& note)
                                    { return note.signature == signature; });
    return found == successes_.end() ? nullptr : &*found;
}

doubtful_rows answer_history::doubt_of(const expected_answer& expected,
                                       const session_answer& answer,
                                       const recurring_rows& known) const
{
    if (!has_rows() || answer.rows.empty())
    {
        return {};
    }
    if (may_hold_cut_row(answer))
    {
        return {row_doubt::cut_row, 0};
    }
    std::vector<std::uint64_t> hashes;
    std::transform(answer.rows.begin(), answer.rows.end(),
                   std::back_inserter(hashes),
                   [](const std::string& row) { return hash_of(row); });
    const auto rows = hash_of_rows(answer);
    const auto noted = std::min(row_notes_, most_row_notes);
    doubtful_rows doubt;
    for (std::size_t i = 0; i < noted; ++i)
    {
        const auto& note = rows_.at(i);
        const bool same = note.rows == rows;
        const bool own = same && note.statement == expected.statement;
        const auto why =
            same ? row_doubt::same_rows : row_doubt::same_first_row;
        if (!own && contains(hashes, note.first_row) &&
            !known.contains(note.first_row) && why > doubt.why)
        {
            doubt = {why, note.first_row};
        }
    }
    return doubt;
}

bool answer_history::may_hold_cut_row(const session_answer& answer) const
{
    const auto noted = std::min(row_notes_, most_row_notes);
    const auto begin = rows_.begin();
    return std::any_of(begin, begin + static_cast<std::ptrdiff_t>(noted),
                       [&answer](const row_note& note)
                       { return begins_like(answer, note); });
}

/// Whether the first row begins like an earlier one up to where another row may
/// begin.
bool answer_history::begins_like(const session_answer& answer,
                                 const row_note& note)
{
    return std::any_of(answer.row_starts.begin(), answer.row_starts.end(),
                       [&](std::size_t size)
                       {
                           const auto compared = std::min(size, most_row_begin);
                           return answer.rows.front().compare(0, compared,
                                                              note.begin, 0,
                                                              compared) == 0;
                       });
}

void answer_history::add_untaken(const session_answer& answer)
{
    successes_.push_back({hash_of(answer.signature), hash_of_rows(answer)});
}

void answer_history::add(const expected_answer& expected,
                         const session_answer& answer)
{
    if (answer.error)
    {
        errors_.push_back(hash_of_error(answer));
        return;
    }
    if (answer.signature != no_signature)
    {
        add_untaken(answer);
    }
    if (!answer.rows.empty())
    {
        rows_.at(row_notes_ % most_row_notes) = {
            expected.statement, hash_of(answer.rows.front()),
            hash_of_rows(answer), begin_of(answer.rows.front())};
        ++row_notes_;
    }
}

} // namespace tanagerhoist
