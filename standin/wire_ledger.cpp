#include "standin/wire_ledger.hpp"

#include "standin/wire_text.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace tanagerhoist::standin
{
namespace
{

constexpr const char* check_names[wire_checks] = {
    "mixed",  "unasked", "twice",   "refused", "lost",
    "pinned", "broken",  "surplus", "state"};

constexpr std::string_view promises[] = {"BUSY",     "ABORTED",   "LAGGING",
                                         "READONLY", "WRONGNODE", "TOOMANY"};

std::string first_word(std::string_view text)
{
    return std::string(take_field(text));
}

/// Whether a statement is answered with a server's signature.
bool is_signed(std::string_view text)
{
    const auto word = first_word(text);
    return word == "READ" || word == "WRITE" || word == "EXECUTE" ||
           word == "COMMIT";
}

std::string to_line(const wire_answer& answer)
{
    std::string line;
    for (const auto& row : answer.rows)
    {
        line += " ROW[" + escaped(row) + ']';
    }
    line += answer.error.empty()
                ? " COMPLETE[" + escaped(answer.signature) + ']'
                : " ERROR[" + answer.error + ' ' + escaped(answer.text) + ']';
    return line + " READY[" + escaped(answer.state) + ']';
}

} // namespace

std::string without_prepared_name(std::string_view text)
{
    auto rest = text;
    if (take_field(rest) != "EXECUTE")
    {
        return std::string(text);
    }
    take_field(rest);
    return "EXECUTE " + std::string(rest);
}

bool is_promise(const std::string& error)
{
    return std::find(std::begin(promises), std::end(promises), error) !=
           std::end(promises);
}

void wire_ledger::note_sent(const std::string& id, sent_statement statement)
{
    if (statement.transaction != 0 && statement.writes)
    {
        transactions_noted_[statement.transaction].writes.push_back(id);
    }
    statements_[id].sent = std::move(statement);
    count("sent");
}

std::uint64_t wire_ledger::note_arrival(const std::string& id,
                                        std::string_view text,
                                        const server_view& at)
{
    auto& note = statements_[id];
    note.arrived.emplace_back(text);
    note.connection = at.connection;
    check_text(id, note, text);
    if (!note.sent)
    {
        return 0;
    }
    check_place(id, note, at);
    return note.sent->transaction;
}

bool wire_ledger::has_arrived(const std::string& id) const
{
    const auto found = statements_.find(id);
    return found != statements_.end() && !found->second.arrived.empty();
}

void wire_ledger::check_text(const std::string& id, const statement_note& note,
                             std::string_view text)
{
    if (!note.sent)
    {
        add_case(wire_check::unasked, id, "no client sent this id");
    }
    else if (without_prepared_name(note.sent->text) !=
             without_prepared_name(text))
    {
        add_case(wire_check::unasked, id, "other text");
    }
}

void wire_ledger::check_place(const std::string& id, const statement_note& note,
                              const server_view& at)
{
    const auto& sent = *note.sent;
    if (sent.transaction == 0 && at.in_transaction)
    {
        add_case(wire_check::pinned, id, "in a transaction, sent outside");
    }
    if (sent.transaction != 0)
    {
        auto& transaction = transactions_noted_[sent.transaction];
        const bool foreign =
            at.transaction != 0 && at.transaction != sent.transaction;
        if (!at.in_transaction || foreign)
        {
            add_case(wire_check::pinned, id,
                     foreign ? "in another transaction"
                             : "outside its transaction");
        }
        if (transaction.first.empty())
        {
            transaction.first = id;
        }
        if (transaction.first == id)
        {
            transaction.connection = at.connection; // its first may be retried
        }
        else if (transaction.connection != at.connection)
        {
            add_case(wire_check::pinned, id,
                     "not on its transaction's connection");
        }
    }
    if (sent.values != at.values)
    {
        std::string why = "values: acknowledged";
        for (const auto& [name, value] : sent.values)
        {
            why += " [" + escaped(name) + "=" + escaped(value) + ']';
        }
        why += ", at the server";
        for (const auto& [name, value] : at.values)
        {
            why += " [" + escaped(name) + "=" + escaped(value) + ']';
        }
        add_case(wire_check::pinned, id, why);
    }
    if (!at.shape.empty() && sent.shape != at.shape)
    {
        add_case(wire_check::pinned, id,
                 "shape: acknowledged [" + escaped(sent.shape) +
                     "], at the server [" + escaped(at.shape) + ']');
    }
}

void wire_ledger::note_run(const std::string& id, const server_view& at,
                           const wire_answer& answer)
{
    statements_[id].runs.push_back({at.server, at.connection, answer});
}

void wire_ledger::note_effect(const std::string& id)
{
    auto& note = statements_[id];
    if (++note.effects == 2)
    {
        add_case(wire_check::twice, id, "in effect twice");
    }
}

void wire_ledger::note_answer(const std::string& id, const wire_answer& answer)
{
    auto& note = statements_[id];
    note.answer = answer;
    const auto& sent = *note.sent;
    if (!answer.error.empty())
    {
        count("error " + answer.error);
        if (sent.transaction != 0 && is_promise(answer.error))
        {
            transactions_noted_[sent.transaction].promised = true;
        }
        if (answer.error == "NOSTMT")
        {
            add_case(wire_check::pinned, id, "its name was acknowledged");
        }
        return;
    }
    count("served");
    check_success(id, note);
    if (sent.transaction != 0 && sent.text == "COMMIT")
    {
        transactions_noted_[sent.transaction].committed = true;
    }
}

void wire_ledger::check_success(const std::string& id,
                                const statement_note& note)
{
    const auto& answer = *note.answer;
    if (!is_signed(note.sent->text))
    {
        if (answer.signature != "-" || !answer.rows.empty())
        {
            add_case(wire_check::mixed, id, "signature or rows");
        }
        return;
    }
    const bool own =
        std::any_of(note.runs.begin(), note.runs.end(),
                    [&answer](const auto& run)
                    {
                        return run.answer.error.empty() &&
                               run.answer.signature == answer.signature &&
                               run.answer.rows == answer.rows;
                    });
    if (!own)
    {
        add_case(wire_check::mixed, id, "not what a server gave for this id");
    }
}

void wire_ledger::finish()
{
    for (const auto& [id, note] : statements_)
    {
        if (note.sent && note.sent->writes)
        {
            check_effect(id, note);
        }
    }
}

void wire_ledger::check_effect(const std::string& id,
                               const statement_note& note)
{
    const auto& sent = *note.sent;
    const bool done = note.answer && note.answer->error.empty();
    bool promised = note.answer && is_promise(note.answer->error);
    bool acknowledged = done;
    if (sent.transaction != 0)
    {
        const auto& transaction = transactions_noted_[sent.transaction];
        promised = transaction.promised;
        acknowledged = done && transaction.committed;
    }
    if (promised && note.effects != 0)
    {
        add_case(wire_check::refused, id, "in effect in spite of a promise");
    }
    if (acknowledged && note.effects == 0)
    {
        add_case(wire_check::lost, id, "acknowledged, never in effect");
    }
}

void wire_ledger::note_bytes(std::uint64_t connection,
                             std::string_view direction, std::string_view bytes)
{
    auto& kept = bytes_[connection];
    kept.push_back(std::string(direction) + ' ' + escaped(bytes));
    if (kept.size() > kept_bytes)
    {
        kept.pop_front();
    }
}

void wire_ledger::add_case(wire_check check, const std::string& id,
                           const std::string& why)
{
    const auto index = static_cast<std::size_t>(check);
    if (++broken_[index] <= most_cases_)
    {
        cases_.push_back({id, std::string(check_names[index]) + ": " + why +
                                  '\n' + describe(id) + bytes_of(id)});
    }
}

std::string wire_ledger::describe(const std::string& id) const
{
    std::string text = "  id " + escaped(id) + '\n';
    const auto found = statements_.find(id);
    if (found == statements_.end())
    {
        return text;
    }
    const auto& note = found->second;
    if (note.sent)
    {
        text += "  client " + std::to_string(note.sent->client) +
                ", transaction " + std::to_string(note.sent->transaction) +
                ", sent [" + escaped(note.sent->text) + "]\n";
    }
    for (const auto& arrived : note.arrived)
    {
        text += "  arrived [" + escaped(arrived) + "]\n";
    }
    for (const auto& run : note.runs)
    {
        text += "  ran at " + run.server + " connection " +
                std::to_string(run.connection) + ':' + to_line(run.answer) +
                '\n';
    }
    if (note.answer)
    {
        text += "  came:" + to_line(*note.answer) + '\n';
    }
    return text;
}

/// The latest bytes on the connection where a statement arrived.
std::string wire_ledger::bytes_of(const std::string& id) const
{
    std::string text;
    const auto note = statements_.find(id);
    const auto bytes = note == statements_.end()
                           ? bytes_.end()
                           : bytes_.find(note->second.connection);
    if (bytes != bytes_.end())
    {
        for (const auto& line : bytes->second)
        {
            text += "    " + line + '\n';
        }
    }
    return text;
}

std::vector<std::string> wire_ledger::cases() const
{
    std::vector<std::string> texts;
    for (const auto& found : cases_)
    {
        const auto now = describe(found.id);
        const bool same = found.text.find(now) != std::string::npos;
        const bool has_bytes = found.text.find("    <- ") != std::string::npos;
        const auto more = has_bytes ? now : now + bytes_of(found.id);
        texts.push_back(same ? found.text
                             : found.text + "  in the end:\n" + more);
    }
    return texts;
}

bool wire_ledger::is_broken() const
{
    return std::any_of(std::begin(broken_), std::end(broken_),
                       [](std::size_t cases) { return cases != 0; });
}

std::size_t wire_ledger::count_of(const std::string& what) const
{
    const auto found = counts_.find(what);
    return found == counts_.end() ? 0 : found->second;
}

std::string wire_ledger::summary() const
{
    std::string line;
    for (std::size_t i = 0; i < wire_checks; ++i)
    {
        line += std::string(check_names[i]) + ' ' + std::to_string(broken_[i]) +
                ", ";
    }
    line += "of";
    for (const auto& [what, number] : counts_)
    {
        line += ' ' + what + ' ' + std::to_string(number) + ',';
    }
    line.pop_back();
    return line;
}

} // namespace tanagerhoist::standin
