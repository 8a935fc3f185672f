#ifndef TANAGERHOIST_ADAPTER_RUN_READER_HPP
#define TANAGERHOIST_ADAPTER_RUN_READER_HPP

#include "messages.pb.h"
#include "tanagerhoist/settings/platform_client.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Result of a read from the object store.
enum class store_read
{
    done,
    absent,     ///< the object does not exist
    unavailable ///< no reply, or one that cannot be parsed
};

/// Reads the recorded batches of VMs' runs from the object store. The index of
/// a VM lists its runs. The batches of a run are numbered from 0 without gaps;
/// the first number without an object marks the end.
class run_reader
{
public:
    explicit run_reader(platform_client& store) : store_(store) {}

    /// Appends the names of the VMs in the platform's list to `vms`.
    store_read listed_vms(std::vector<std::string>& vms);

    /// Reads the runs of `vm` as wall-clock start times, oldest first.
    /// @param starts in microseconds
    store_read runs(const std::string& vm, std::vector<std::uint64_t>& starts);

    /// Appends the event batches of one run in order to `batches`.
    store_read events(const std::string& vm, std::uint64_t start_wall_us,
                      std::vector<proto::EventBatch>& batches);

    /// Reads input batch `number` of one run.
    store_read inputs(const std::string& vm, std::uint64_t start_wall_us,
                      std::uint64_t number, proto::RecordBatch& batch);

private:
    store_read read(const std::string& name,
                    google::protobuf::Message& message);

    platform_client& store_;
};

} // namespace tanagerhoist

#endif
