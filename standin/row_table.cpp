#include "standin/row_table.hpp"

namespace tanagerhoist::standin
{

store_answer row_table::begin() const
{
    store_answer answer;
    answer.result = store_result::done;
    answer.version = current_.version;
    answer.era = era_;
    return answer;
}

store_answer row_table::read(const std::string& table, const std::string& from,
                             std::size_t limit) const
{
    auto answer = begin();
    for (const auto& [key, row] : current_.rows)
    {
        if (key.first != table || key.second < from || row.removed)
        {
            continue;
        }
        if (answer.rows.size() == limit)
        {
            answer.truncated = true;
            break;
        }
        answer.rows.push_back(row);
    }
    return answer;
}

store_answer row_table::write(const store_transaction& transaction)
{
    auto answer = begin();
    for (const auto& expected : transaction.expected)
    {
        const auto it = current_.rows.find({expected.table, expected.key});
        const bool exists = it != current_.rows.end() && !it->second.removed;
        const auto version = exists ? it->second.version : 0;
        if (version != expected.version)
        {
            answer.result = store_result::conflict;
            answer.rows.push_back(exists ? it->second : expected);
            answer.rows.back().version = version;
        }
    }
    if (answer.result == store_result::conflict)
    {
        return answer;
    }
    answer.version = ++current_.version;
    for (const auto& put : transaction.puts)
    {
        auto& row = current_.rows[{put.table, put.key}];
        row = put;
        row.version = current_.version;
    }
    for (const auto& removal : transaction.removals)
    {
        current_.rows[{removal.table, removal.key}] = {
            removal.table, removal.key, "", current_.version, true};
    }
    return answer;
}

store_answer row_table::changes(const std::string& table,
                                std::uint64_t version) const
{
    auto answer = begin();
    if (version > current_.version)
    {
        answer.result = store_result::compacted;
        return answer;
    }
    for (const auto& [key, row] : current_.rows)
    {
        if (key.first == table && row.version > version)
        {
            answer.rows.push_back(row);
        }
    }
    return answer;
}

void row_table::restore()
{
    current_ = copy_;
    ++era_;
}

} // namespace tanagerhoist::standin
