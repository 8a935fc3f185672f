#ifndef TANAGERHOIST_DECISION_PRIMARY_ROW_WRITER_HPP
#define TANAGERHOIST_DECISION_PRIMARY_ROW_WRITER_HPP

#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <cstdint>
#include <map>
#include <string>

namespace tanagerhoist
{

/// Timing of `primary_row_writer`.
struct primary_row_options
{
    milliseconds call_timeout{1000};
    milliseconds retry_pause{1000};
};

/// Writes the current primary to the platform's table, row `primary/DATABASE`,
/// for operators. Failover does not depend on the row. The write is retried,
/// however long the platform is unavailable, until the row holds at least that
/// term.
class primary_row_writer
{
public:
    explicit primary_row_writer(primary_row_options options = {});

    /// Starts to write `belief` unless the table holds its term or a higher
    /// one. Replaces a pending row of a lower term.
    void write(moment now, const proto::PrimaryBelief& belief, outbox& out);

    /// Retries failed reads and writes.
    void on_tick(moment now, outbox& out);

    /// Number of rows not yet known to be written.
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
