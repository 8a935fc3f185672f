#include "tanagerhoist/record/action_digest.hpp"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <xxhash.h>

#include <string>

namespace tanagerhoist
{

std::uint64_t digest_of(const std::vector<proto::Action>& actions)
{
    std::uint64_t digest = 0;
    for (const auto& action : actions)
    {
        std::string bytes;
        {
            google::protobuf::io::StringOutputStream stream(&bytes);
            google::protobuf::io::CodedOutputStream coded(&stream);
            coded.SetSerializationDeterministic(true);
            action.SerializeToCodedStream(&coded);
        }
        digest = XXH3_64bits_withSeed(bytes.data(), bytes.size(), digest);
    }
    return digest;
}

} // namespace tanagerhoist
