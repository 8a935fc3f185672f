#include "standin/wire_execution.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace tanagerhoist::standin
{
namespace
{

constexpr std::size_t most_rows = 3;
constexpr unsigned fail_share = 8; // percent

} // namespace

std::string wire_group::position() const
{
    return std::to_string(term) + '.' + std::to_string(commits);
}

read_statement parse_query(std::string_view line)
{
    read_statement parsed;
    auto rest = line;
    take_field(rest);
    parsed.id = std::string(take_field(rest));
    if (rest.substr(0, rest.find(' ')) == "AFTER")
    {
        take_field(rest);
        take_field(rest);
    }
    parsed.text = std::string(rest);
    parsed.word = std::string(take_field(rest));
    parsed.rest = std::string(rest);
    return parsed;
}

wire_execution::wire_execution(wire_group& group, std::string server,
                               bool primary, std::uint64_t connection)
    : group_(group),
      server_(std::move(server)),
      primary_(primary),
      connection_(connection)
{
}

wire_answer wire_execution::run(const read_statement& what)
{
    auto answer = what.is_of_proxy() ? run_added(what) : run_sent(what);
    answer.state = state();
    if (!what.is_of_proxy())
    {
        group_.ledger.note_run(what.id, view_of(what), answer);
    }
    return answer;
}

std::string wire_execution::state() const
{
    if (!transaction_)
    {
        return "I";
    }
    return transaction_->failed ? "E" : "T";
}

server_view wire_execution::view_of(const read_statement& what) const
{
    server_view view;
    view.server = server_;
    view.connection = connection_;
    view.in_transaction = transaction_.has_value();
    view.transaction = transaction_ ? transaction_->number : 0;
    view.values = values_;
    if (what.word == "EXECUTE")
    {
        view.shape = shape_of(what);
    }
    return view;
}

std::string wire_execution::shape_of(const read_statement& what) const
{
    std::string_view rest = what.rest;
    const auto found = prepared_.find(std::string(take_field(rest)));
    return found == prepared_.end() ? std::string() : found->second;
}

bool wire_execution::is_write(const read_statement& what) const
{
    return what.word == "WRITE" ||
           (what.word == "EXECUTE" && shape_of(what).rfind("WRITE ", 0) == 0);
}

/// Runs a statement that the proxy added.
wire_answer wire_execution::run_added(const read_statement& what)
{
    if (what.word == "STATUS")
    {
        return status();
    }
    wire_answer answer;
    change(what, answer);
    return answer;
}

wire_answer wire_execution::status() const
{
    wire_answer answer;
    answer.rows.push_back(std::string(primary_ ? "primary " : "replica ") +
                          std::to_string(group_.term) + ' ' +
                          group_.position() + " 0 0 0 1");
    answer.signature = "-";
    return answer;
}

/// Runs what changes the state of the connection only.
void wire_execution::change(const read_statement& what, wire_answer& answer)
{
    answer.signature = "-";
    std::string_view rest = what.rest;
    if (what.word == "SET")
    {
        const auto name = std::string(take_field(rest));
        values_[name] = std::string(rest);
    }
    else if (what.word == "PREPARE")
    {
        const auto name = std::string(take_field(rest));
        prepared_[name] = std::string(rest);
    }
    else if (what.word == "DEALLOC")
    {
        prepared_.erase(what.rest);
    }
    else if (what.word == "RESET")
    {
        values_.clear();
        prepared_.clear();
    }
    else if (what.word == "BEGIN")
    {
        begin(what, answer);
    }
    else if (what.word == "ROLLBACK")
    {
        transaction_.reset();
    }
    else
    {
        group_.ledger.add_case(wire_check::unasked, what.id,
                               server_ + " [" + escaped(what.text) + ']');
    }
}

void wire_execution::begin(const read_statement& what, wire_answer& answer)
{
    const bool reads_only = what.rest == "READ";
    if (transaction_)
    {
        answer.error = "MALFORMED";
    }
    else if (!reads_only && !primary_)
    {
        answer.error = "READONLY";
    }
    else
    {
        transaction_ = transaction();
        transaction_->reads_only = reads_only;
    }
}

/// Runs a client's statement.
wire_answer wire_execution::run_sent(const read_statement& what)
{
    const auto number =
        group_.ledger.note_arrival(what.id, what.text, view_of(what));
    if (transaction_ && transaction_->number == 0)
    {
        transaction_->number = number;
    }
    wire_answer answer;
    if (what.word == "COMMIT")
    {
        commit(answer);
        return answer;
    }
    if (transaction_ && transaction_->failed)
    {
        answer.error = "MALFORMED";
    }
    else if (what.word == "EXECUTE" && shape_of(what).empty())
    {
        answer.error = "NOSTMT";
    }
    else if (is_write(what))
    {
        write_item(what, answer);
    }
    else if (what.word == "READ" || what.word == "EXECUTE")
    {
        read_item(what, answer);
    }
    else
    {
        change(what, answer);
    }
    if (transaction_ && !answer.error.empty())
    {
        transaction_->failed = true;
    }
    return answer;
}

bool wire_execution::fails()
{
    return group_.mode.fails && group_.random.chance(fail_share);
}

void wire_execution::read_item(const read_statement& what, wire_answer& answer)
{
    if (fails())
    {
        answer.error = "FAILED";
        answer.text = group_.data.text();
        return;
    }
    answer.rows = rows_of(what);
    answer.signature = next_signature();
}

std::vector<std::string> wire_execution::rows_of(const read_statement& what)
{
    wire_random own(std::hash<std::string>()(what.rest));
    auto& random = group_.mode.same_rows ? own : group_.random;
    wire_data data(random, group_.mode.any_bytes);
    std::vector<std::string> rows(random.below(most_rows + 1));
    std::generate(rows.begin(), rows.end(), [&data] { return data.text(); });
    return rows;
}

void wire_execution::write_item(const read_statement& what, wire_answer& answer)
{
    if (!primary_ || (transaction_ && transaction_->reads_only))
    {
        answer.error = "READONLY";
        answer.text = server_;
    }
    else if (fails())
    {
        answer.error = "BUSY";
        answer.text = group_.data.text();
    }
    else
    {
        answer.signature = next_signature();
        if (transaction_)
        {
            transaction_->writes.push_back(what.id);
            return;
        }
        ++group_.commits;
        group_.ledger.note_effect(what.id);
    }
}

void wire_execution::commit(wire_answer& answer)
{
    const auto ended = std::exchange(transaction_, std::nullopt);
    if (!ended || ended->failed)
    {
        answer.error = ended ? "ABORTED" : "MALFORMED";
        return;
    }
    answer.signature = next_signature();
    group_.commits += ended->writes.empty() ? 0 : 1;
    for (const auto& id : ended->writes)
    {
        group_.ledger.note_effect(id);
    }
}

std::string wire_execution::next_signature()
{
    return server_ + '.' + std::to_string(++group_.signatures) + '.' +
           std::to_string(group_.random.number());
}

} // namespace tanagerhoist::standin
