#include "tanagerhoist/adapter/run_reader.hpp"

#include "tanagerhoist/record/object_names.hpp"

#include <utility>

namespace tanagerhoist
{

store_read run_reader::read(const std::string& name,
                            google::protobuf::Message& message)
{
    proto::PlatformCall call;
    call.mutable_object_read()->set_name(name);
    const auto answer = store_.call(call);
    if (!answer.reply)
    {
        return store_read::unavailable;
    }
    if (answer.reply->outcome() != proto::PLATFORM_OK)
    {
        return store_read::absent;
    }
    return message.ParseFromString(answer.reply->value())
               ? store_read::done
               : store_read::unavailable;
}

store_read run_reader::listed_vms(std::vector<std::string>& vms)
{
    proto::PlatformCall call;
    call.mutable_list();
    const auto answer = store_.call(call);
    if (!answer.reply)
    {
        return store_read::unavailable;
    }
    for (const auto& vm : answer.reply->listed())
    {
        vms.push_back(vm.vm());
    }
    return store_read::done;
}

store_read run_reader::runs(const std::string& vm,
                            std::vector<std::uint64_t>& starts)
{
    proto::RecordIndex index;
    const auto result = read(index_name(vm), index);
    starts.assign(index.start_wall_us().begin(), index.start_wall_us().end());
    return result;
}

store_read run_reader::events(const std::string& vm,
                              std::uint64_t start_wall_us,
                              std::vector<proto::EventBatch>& batches)
{
    for (std::uint64_t number = 0;; ++number)
    {
        proto::EventBatch batch;
        const auto result =
            read(event_batch_name(vm, start_wall_us, number), batch);
        if (result == store_read::absent)
        {
            return store_read::done;
        }
        if (result == store_read::unavailable)
        {
            return result;
        }
        batches.push_back(std::move(batch));
    }
}

store_read run_reader::inputs(const std::string& vm,
                              std::uint64_t start_wall_us, std::uint64_t number,
                              proto::RecordBatch& batch)
{
    return read(record_batch_name(vm, start_wall_us, number), batch);
}

} // namespace tanagerhoist
