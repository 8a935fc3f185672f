#include "tanagerhoist/adapter/settings_snapshot.hpp"

#include <urcu/urcu-memb.h>

namespace tanagerhoist
{

settings_snapshot::read_section::read_section()
{
    urcu_memb_read_lock();
}

settings_snapshot::read_section::~read_section()
{
    urcu_memb_read_unlock();
}

const settings_view* settings_snapshot::current() const
{
    return rcu_dereference(view_);
}

void settings_snapshot::publish(std::unique_ptr<settings_view> next)
{
    std::unique_ptr<settings_view> old(
        rcu_xchg_pointer(&view_, next.release()));
    urcu_memb_synchronize_rcu(); // waits for the last reader of old
}

settings_snapshot::~settings_snapshot()
{
    delete view_;
}

rcu_reader::rcu_reader()
{
    urcu_memb_register_thread();
}

rcu_reader::~rcu_reader()
{
    urcu_memb_unregister_thread();
}

} // namespace tanagerhoist
