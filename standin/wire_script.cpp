#include "standin/wire_script.hpp"

#include <algorithm>
#include <iterator>

namespace tanagerhoist::standin
{
namespace
{

constexpr std::size_t items = 40;
constexpr std::size_t names = 4; // of values, and of prepared statements
constexpr std::size_t shapes = 6;
constexpr std::size_t most_inner = 4;    // statements of a transaction
constexpr unsigned read_only_share = 30; // percent of transactions
constexpr unsigned commit_share = 70;    // percent of transactions
constexpr unsigned rollback_share = 22;  // percent of transactions

std::vector<std::string> draw_words(wire_data& data, std::size_t count)
{
    std::vector<std::string> drawn;
    std::generate_n(std::back_inserter(drawn), count,
                    [&data] { return data.word(); });
    return drawn;
}

const std::string& any_of(wire_random& random,
                          const std::vector<std::string>& texts)
{
    return texts[random.below(texts.size())];
}

client_step step(std::string text)
{
    return {client_step::kind::statement, std::move(text)};
}

} // namespace

wire_script::wire_script(wire_random& random, wire_data& data)
    : random_(random),
      data_(data),
      items_(draw_words(data, items)),
      names_(draw_words(data, names)),
      shapes_(draw_words(data, shapes))
{
}

std::string wire_script::item()
{
    return any_of(random_, items_);
}

std::string wire_script::read()
{
    return "READ " + (random_.chance(10) ? data_.rest() : item());
}

std::string wire_script::write()
{
    return "WRITE " + item() + ' ' + data_.text();
}

std::string wire_script::set()
{
    return "SET " + any_of(random_, names_) + ' ' + data_.text();
}

std::string wire_script::prepare()
{
    const auto* mode = random_.chance(50) ? " READ " : " WRITE ";
    return "PREPARE " + any_of(random_, names_) + mode +
           (random_.chance(30) ? data_.rest() : any_of(random_, shapes_));
}

std::string wire_script::execute(const client_state& state, bool may_write)
{
    for (const auto& [name, shape] : state.prepared)
    {
        const bool reads = shape.rfind("READ ", 0) == 0;
        if ((reads || may_write) && random_.chance(60))
        {
            return "EXECUTE " + name + ' ' + item() +
                   (reads ? std::string() : ' ' + data_.text());
        }
    }
    return read();
}

std::string wire_script::deallocate(const client_state& state)
{
    return state.prepared.empty() ? read()
                                  : "DEALLOC " + state.prepared.begin()->first;
}

std::string wire_script::inner_statement(const client_state& state,
                                         bool reads_only)
{
    const auto draw = random_.below(100);
    if (draw < 40)
    {
        return read();
    }
    if (draw < 70)
    {
        return reads_only ? read() : write();
    }
    return draw < 90 ? execute(state, !reads_only) : set();
}

std::deque<client_step> wire_script::transaction(const client_state& state)
{
    const bool reads_only = random_.chance(read_only_share);
    std::deque<client_step> steps{step(reads_only ? "BEGIN READ" : "BEGIN")};
    const auto inner = random_.between(1, most_inner);
    for (std::size_t i = 0; i < inner; ++i)
    {
        steps.push_back(step(inner_statement(state, reads_only)));
    }
    const auto draw = random_.below(100);
    if (draw < commit_share)
    {
        steps.push_back(step("COMMIT"));
    }
    else if (draw < commit_share + rollback_share)
    {
        steps.push_back(step("ROLLBACK"));
    }
    else
    {
        steps.push_back(
            {draw % 2 == 0 ? client_step::kind::end : client_step::kind::leave,
             {}});
    }
    return steps;
}

std::deque<client_step> wire_script::next_operation(const client_state& state)
{
    const auto draw = random_.below(100);
    if (draw < 32)
    {
        return {step(read())};
    }
    if (draw < 50)
    {
        return {step(write())};
    }
    if (draw < 57)
    {
        return {step(set())};
    }
    if (draw < 63)
    {
        return {step(prepare())};
    }
    if (draw < 75)
    {
        return {step(execute(state, true))};
    }
    if (draw < 77)
    {
        return {step(deallocate(state))};
    }
    if (draw < 97)
    {
        return transaction(state);
    }
    return {
        {draw == 97 ? client_step::kind::leave : client_step::kind::end, {}}};
}

void note_acknowledged(client_state& state, const std::string& text)
{
    std::string_view rest = text;
    const auto word = take_field(rest);
    if (word == "SET")
    {
        const auto name = std::string(take_field(rest));
        state.values[name] = std::string(rest);
    }
    else if (word == "PREPARE")
    {
        const auto name = std::string(take_field(rest));
        state.prepared[name] = std::string(rest);
    }
    else if (word == "DEALLOC")
    {
        state.prepared.erase(std::string(rest));
    }
}

bool writes(const client_state& state, const std::string& text)
{
    return text.rfind("WRITE ", 0) == 0 ||
           executed_shape(state, text).rfind("WRITE ", 0) == 0;
}

std::string executed_shape(const client_state& state, const std::string& text)
{
    std::string_view rest = text;
    if (take_field(rest) != "EXECUTE")
    {
        return {};
    }
    const auto found = state.prepared.find(std::string(take_field(rest)));
    return found == state.prepared.end() ? std::string() : found->second;
}

} // namespace tanagerhoist::standin
