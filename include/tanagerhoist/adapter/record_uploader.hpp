#ifndef TANAGERHOIST_ADAPTER_RECORD_UPLOADER_HPP
#define TANAGERHOIST_ADAPTER_RECORD_UPLOADER_HPP

#include "tanagerhoist/adapter/recorder.hpp"
#include "tanagerhoist/core/time.hpp"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace tanagerhoist
{

/// Flushes a recorder periodically on its own thread, and a last time on
/// destruction.
class record_uploader
{
public:
    record_uploader(recorder& record, milliseconds interval);
    ~record_uploader();
    record_uploader(const record_uploader&) = delete;
    record_uploader& operator=(const record_uploader&) = delete;

private:
    void run();

    recorder& record_;
    milliseconds interval_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace tanagerhoist

#endif
