#ifndef TANAGERHOIST_TESTS_FAKE_ROW_STORE_HPP
#define TANAGERHOIST_TESTS_FAKE_ROW_STORE_HPP

#include "standin/row_table.hpp"
#include "tanagerhoist/fleet/row_store.hpp"

#include <functional>
#include <string>
#include <utility>

namespace tanagerhoist
{

/// In-memory row store on an injected clock, with simulated outages, lost
/// answers, and returns to an older copy.
class fake_row_store : public row_store
{
public:
    explicit fake_row_store(moment& now) : now_(now) {}

    store_answer read(const std::string& table,
                      const std::string& from) override
    {
        down = down || reads == reads_until_down;
        ++reads;
        if (on_read)
        {
            on_read();
        }
        return finish(down ? refused() : table_.read(table, from, page_rows));
    }

    store_answer write(const store_transaction& transaction) override
    {
        if (const auto called = on_write) // which may change it
        {
            called();
        }
        auto answer = finish(down ? refused() : table_.write(transaction));
        if (answer.result == store_result::done &&
            std::exchange(lose_next_answer, false))
        {
            answer.result = store_result::unanswered;
        }
        return answer;
    }

    store_answer watch(const std::string& table, std::uint64_t version,
                       milliseconds) override
    {
        return finish(down ? refused() : table_.changes(table, version));
    }

    /// Takes a copy that restore() returns to, with an era that rises by one.
    void take_copy() { table_.take_copy(); }
    void restore() { table_.restore(); }

    bool down = false;
    std::size_t page_rows = 500;
    int reads = 0;
    int reads_until_down = -1;      ///< -1: unlimited
    std::function<void()> on_read;  ///< called before each read
    std::function<void()> on_write; ///< called before each write
    bool lose_next_answer = false;

private:
    static store_answer refused()
    {
        store_answer answer;
        answer.result = store_result::refused;
        return answer;
    }

    store_answer finish(store_answer answer) const
    {
        answer.sent = now_;
        answer.now = milliseconds(to_ms(now_.time_since_epoch()));
        return answer;
    }

    moment& now_;
    standin::row_table table_;
};

} // namespace tanagerhoist

#endif
