#include "messages.pb.h"
#include "tanagerhoist/decision/node.hpp"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <cstdlib>
#include <string>

namespace
{

using namespace tanagerhoist;

/// Inputs that one run feeds at most.
constexpr int longest_run = 64;

/// Whatever is read as JSON can be written as JSON again.
template <typename Message>
void read_json(const std::string& bytes)
{
    Message message;
    if (google::protobuf::util::JsonStringToMessage(bytes, &message).ok())
    {
        std::string again;
        if (!google::protobuf::util::MessageToJsonString(message, &again).ok())
        {
            std::abort();
        }
    }
}

/// Feeds a record's inputs with times that don't fall, as the loop does.
void feed(const proto::RecordBatch& batch)
{
    node_options options;
    options.vm = "vm1";
    options.data_centre = "east";
    node fed(options);
    std::uint64_t now_us = 0;
    for (int i = 0; i < std::min(batch.entry_size(), longest_run); ++i)
    {
        proto::Input input = batch.entry(i).input();
        constexpr std::uint64_t longest_step_us = 10'000'000;
        now_us += input.now_us() % longest_step_us;
        input.set_now_us(now_us);
        fed.apply(input);
        fed.take_events();
    }
}

} // namespace

/// Bytes from callers, peers and the platform.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size)
{
    const std::string bytes(reinterpret_cast<const char*>(data), size);
    read_json<proto::CallerRequest>(bytes);
    read_json<proto::PeerMessage>(bytes);
    proto::PeerMessage message;
    message.ParseFromString(bytes);
    proto::RecordBatch batch;
    if (batch.ParseFromString(bytes))
    {
        feed(batch);
    }
    return 0;
}
