#include "standin/statement.hpp"

#include <utility>

namespace tanagerhoist::standin
{

namespace
{

/// A parsed statement; `value` is the rest of the text after the key.
struct parsed_statement
{
    std::string verb;
    std::string key;
    std::string value;
};

/// Removes the first word and the space after it from `text`; returns the word.
std::string pop_word(std::string& text)
{
    const auto space = text.find(' ');
    std::string word = text.substr(0, space);
    text = space == std::string::npos ? "" : text.substr(space + 1);
    return word;
}

parsed_statement parse(std::string text)
{
    parsed_statement parsed;
    parsed.verb = pop_word(text);
    parsed.key = pop_word(text);
    parsed.value = std::move(text);
    return parsed;
}

evaluation get(const parsed_statement& statement, store_view& view)
{
    return {view.find(statement.key).value_or(""), ""};
}

evaluation scan(const parsed_statement& statement, store_view& view)
{
    return {view.scan(statement.key), ""};
}

evaluation put(const parsed_statement& statement, store_view& view)
{
    view.put(statement.key, statement.value);
    return {statement.value, ""};
}

evaluation append(const parsed_statement& statement, store_view& view)
{
    auto value = view.find(statement.key).value_or("") + statement.value;
    view.put(statement.key, value);
    return {std::move(value), ""};
}

evaluation book(const parsed_statement& statement, store_view& view)
{
    if (view.find(statement.key))
    {
        return {"", "already booked: " + statement.key};
    }
    return put(statement, view);
}

struct statement_type
{
    const char* name;
    bool writes;
    evaluation (*run)(const parsed_statement&, store_view&);
};

constexpr statement_type verbs[] = {{"GET", false, &get},
                                    {"SCAN", false, &scan},
                                    {"PUT", true, &put},
                                    {"APPEND", true, &append},
                                    {"BOOK", true, &book}};

} // namespace

store_view::store_view(const key_value_store& base) : base_(base) {}

std::optional<std::string> store_view::find(const std::string& key) const
{
    if (const auto it = changes_.find(key); it != changes_.end())
    {
        return it->second;
    }
    if (const auto it = base_.find(key); it != base_.end())
    {
        return it->second;
    }
    return std::nullopt;
}

void store_view::put(const std::string& key, std::string value)
{
    changes_[key] = std::move(value);
}

std::string store_view::scan(const std::string& prefix) const
{
    key_value_store found;
    for (const auto* source : {&changes_, &base_})
    {
        for (auto it = source->lower_bound(prefix);
             it != source->end() && it->first.rfind(prefix, 0) == 0; ++it)
        {
            found.insert(*it);
        }
    }
    std::string lines;
    for (const auto& [key, value] : found)
    {
        lines.append(key).append("=").append(value).append("\n");
    }
    return lines;
}

evaluation evaluate(const std::string& statement, bool may_write,
                    store_view& view)
{
    const auto parsed = parse(statement);
    for (const auto& verb : verbs)
    {
        if (parsed.verb == verb.name)
        {
            return verb.writes && !may_write
                       ? evaluation{"", "write sent as a read"}
                       : verb.run(parsed, view);
        }
    }
    return {"", "unknown statement: " + parsed.verb};
}

} // namespace tanagerhoist::standin
