#include "tanagerhoist/adapter/record_uploader.hpp"

namespace tanagerhoist
{

record_uploader::record_uploader(recorder& record, milliseconds interval)
    : record_(record), interval_(interval), thread_([this] { run(); })
{
}

record_uploader::~record_uploader()
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void record_uploader::run()
{
    bool last = false;
    while (!last)
    {
        {
            std::unique_lock lock(mutex_);
            wake_.wait_for(lock, interval_, [this] { return stopping_; });
            last = stopping_;
        }
        record_.flush();
    }
}

} // namespace tanagerhoist
