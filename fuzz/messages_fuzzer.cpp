#include "messages.pb.h"
#include "tanagerhoist/decision/node.hpp"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cstdlib>
#include <string>

namespace
{

using namespace tanagerhoist;

/// Maximum number of inputs applied in one run.
constexpr int max_inputs = 64;

/// Checks that any message parsed from JSON can be serialized as JSON.
template <typename Message>
void check_json_round_trip(const std::string& bytes)
{
    Message message;
    if (google::protobuf::util::JsonStringToMessage(bytes, &message).ok())
    {
        std::string reserialized;
        if (!google::protobuf::util::MessageToJsonString(message, &reserialized)
                 .ok())
        {
            std::abort();
        }
    }
}

/// Applies the inputs of a record to a node. Times never decrease, since the
/// event loop guarantees this.
void apply_inputs(const proto::RecordBatch& batch)
{
    node_options options;
    options.vm = "vm1";
    options.data_centre = "east";
    node target(options);
    std::uint64_t now_us = 0;
    for (int i = 0; i < std::min(batch.entry_size(), max_inputs); ++i)
    {
        proto::Input input = batch.entry(i).input();
        constexpr std::uint64_t max_step_us = 10'000'000;
        now_us += input.now_us() % max_step_us;
        input.set_now_us(now_us);
        target.apply(input);
        target.take_events();
    }
}

} // namespace

/// Fuzzes messages from callers and peers, and recorded inputs, which include
/// answers of the platform and the databases.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    check_json_round_trip<proto::CallerRequest>(bytes);
    check_json_round_trip<proto::PeerMessage>(bytes);
    proto::PeerMessage message;
    message.ParseFromString(bytes);
    proto::RecordBatch batch;
    if (batch.ParseFromString(bytes))
    {
        apply_inputs(batch);
    }
    return 0;
}
