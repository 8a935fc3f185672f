#ifndef TANAGERHOIST_ADAPTER_SETTINGS_SNAPSHOT_HPP
#define TANAGERHOIST_ADAPTER_SETTINGS_SNAPSHOT_HPP

#include "tanagerhoist/decision/settings_view.hpp"

#include <memory>

namespace tanagerhoist
{

/// The settings in force, read by many threads and replaced by one thread with
/// read-copy-update. Readers never block, not even during a replacement.
class settings_snapshot
{
public:
    settings_snapshot() = default;
    ~settings_snapshot();
    settings_snapshot(const settings_snapshot&) = delete;
    settings_snapshot& operator=(const settings_snapshot&) = delete;

    /// Replaces the settings. Blocks until no reader uses the old settings and
    /// frees them.
    void publish(std::unique_ptr<settings_view> next);

    /// Calls `use` with the settings in force, or with null if none have been
    /// published. `use` must not suspend its fiber. The calling thread must
    /// hold an `rcu_reader`.
    template <class Use>
    auto read(Use&& use) const
    {
        const read_section lock;
        return use(current());
    }

private:
    /// RCU read-side critical section.
    struct read_section
    {
        read_section();
        ~read_section();
    };

    const settings_view* current() const;

    settings_view* view_ = nullptr; ///< const to readers
};

/// Registers the calling thread as an RCU reader for the object's lifetime.
class rcu_reader
{
public:
    rcu_reader();
    ~rcu_reader();
    rcu_reader(const rcu_reader&) = delete;
    rcu_reader& operator=(const rcu_reader&) = delete;
};

} // namespace tanagerhoist

#endif
