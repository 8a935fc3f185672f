#ifndef TANAGERHOIST_DECISION_PRIMARY_ROW_WRITER_HPP
#define TANAGERHOIST_DECISION_PRIMARY_ROW_WRITER_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerhoist
{

struct primary_row_options
{
    milliseconds call_timeout{1000};
    milliseconds retry_pause{1000};
};

/// Writes promotions to the platform's table, row `primary/DATABASE`, for
/// operators to see. Nothing depends on it: it is repeated until a row of at
/// least that term stands there, however long the platform is away.
class primary_row_writer
{
public:
    explicit primary_row_writer(primary_row_options options = {});

    /// Wants `belief` in the table unless a higher term is there.
    void write(moment now, const proto::PrimaryBelief& belief, outbox& out);

    /// Repeats what failed.
    void on_tick(moment now, outbox& out);

    /// Rows that are not known to be written.
    std::size_t pending() const { return rows_.size(); }

private:
    struct row
    {
        proto::PrimaryBelief belief;
        bool busy = false;
        moment retry;
    };

    void read(moment now, const std::string& database, outbox& out);
    void on_read(moment now, const std::string& database,
                 const proto::PlatformReply* reply, outbox& out);
    void on_written(moment now, const std::string& database, std::uint64_t term,
                    const proto::PlatformReply* reply);
    void pause(moment now, const std::string& database);

    primary_row_options options_;
    std::map<std::string, row> rows_;
};

} // namespace tanagerhoist

#endif
