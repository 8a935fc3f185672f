#ifndef TANAGERHOIST_ADAPTER_RUN_READER_HPP
#define TANAGERHOIST_ADAPTER_RUN_READER_HPP

#include "messages.pb.h"
#include "tanagerhoist/settings/platform_client.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// What a read from the object store came to.
enum class store_read
{
    done,
    absent,     ///< there is no such object
    unavailable ///< no answer, or not one that can be read
};

/// Reads the batches of VMs' runs from the object store: the index of a VM
/// names its runs; the batches of a run are numbered from 0 without gaps and
/// end at the first number that is absent.
class run_reader
{
public:
    explicit run_reader(platform_client& store) : store_(store) {}

    /// Names of the VMs in the platform's list.
    store_read listed_vms(std::vector<std::string>& vms);

    /// Runs of `vm`, by the wall time of their start, oldest first.
    store_read runs(const std::string& vm, std::vector<std::uint64_t>& starts);

    /// Adds the event batches of one run in order.
    store_read events(const std::string& vm, std::uint64_t start_wall_us,
                      std::vector<proto::EventBatch>& batches);

    /// Reads batch `number` of the inputs of one run.
    store_read inputs(const std::string& vm, std::uint64_t start_wall_us,
                      std::uint64_t number, proto::RecordBatch& batch);

private:
    store_read read(const std::string& name,
                    google::protobuf::Message& message);

    platform_client& store_;
};

} // namespace tanagerhoist

#endif
