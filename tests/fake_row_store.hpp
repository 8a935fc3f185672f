#ifndef TANAGERHOIST_TESTS_FAKE_ROW_STORE_HPP
#define TANAGERHOIST_TESTS_FAKE_ROW_STORE_HPP

#include "tanagerhoist/fleet/row_store.hpp"

#include <map>
#include <string>
#include <utility>

namespace tanagerhoist
{

/// In-memory row store on an injected clock, with simulated outages and lost
/// answers.
class fake_row_store : public row_store
{
public:
    explicit fake_row_store(moment& now) : now_(now) {}

    store_answer read(const std::string& table,
                      const std::string& from) override
    {
        down = down || reads == reads_until_down;
        ++reads;
        auto answer = begin();
        for (const auto& [key, row] : rows_)
        {
            const bool asked = key.first == table && key.second >= from &&
                               answer.result == store_result::done;
            if (asked && answer.rows.size() == page_rows)
            {
                answer.truncated = true;
            }
            else if (asked)
            {
                answer.rows.push_back(row);
            }
        }
        return answer;
    }

    store_answer write(const store_transaction& transaction) override
    {
        auto answer = begin();
        if (answer.result != store_result::done)
        {
            return answer;
        }
        for (const auto& expected : transaction.expected)
        {
            const auto it = rows_.find({expected.table, expected.key});
            const auto version = it == rows_.end() ? 0 : it->second.version;
            if (version != expected.version)
            {
                answer.result = store_result::conflict;
                answer.rows.push_back(it == rows_.end() ? expected
                                                        : it->second);
                answer.rows.back().version = version;
            }
        }
        if (answer.result == store_result::conflict)
        {
            return answer;
        }
        answer.version = ++version_;
        for (const auto& put : transaction.puts)
        {
            auto& row = rows_[{put.table, put.key}];
            row = put;
            row.version = version_;
        }
        for (const auto& removed : transaction.removals)
        {
            rows_.erase({removed.table, removed.key});
        }
        if (std::exchange(lose_next_answer, false))
        {
            answer.result = store_result::unanswered;
        }
        return answer;
    }

    store_answer watch(const std::string& table, std::uint64_t,
                       milliseconds) override
    {
        return read(table, "");
    }

    bool down = false;
    std::size_t page_rows = 500;
    int reads = 0;
    int reads_until_down = -1; ///< -1: unlimited
    bool lose_next_answer = false;

private:
    store_answer begin() const
    {
        store_answer answer;
        answer.result = down ? store_result::refused : store_result::done;
        answer.version = version_;
        answer.sent = now_;
        answer.now = milliseconds(to_ms(now_.time_since_epoch()));
        return answer;
    }

    moment& now_;
    std::map<std::pair<std::string, std::string>, store_row> rows_;
    std::uint64_t version_ = 0;
};

} // namespace tanagerhoist

#endif
