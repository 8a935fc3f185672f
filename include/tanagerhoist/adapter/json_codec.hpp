#ifndef TANAGERHOIST_ADAPTER_JSON_CODEC_HPP
#define TANAGERHOIST_ADAPTER_JSON_CODEC_HPP

#include <google/protobuf/message.h>

#include <string>
#include <string_view>

namespace tanagerhoist
{

/// Writes `message` in protobuf's JSON mapping, with the schema's own names.
std::string to_json(const google::protobuf::Message& message);

/// As above, but numbers and texts that have their default value are written
/// too, for readers that do not know the schema.
std::string to_full_json(const google::protobuf::Message& message);

/// Reads protobuf's JSON mapping; unknown fields are an error.
/// @return false if `text` is not the JSON of such a message
bool from_json(std::string_view text, google::protobuf::Message& message);

} // namespace tanagerhoist

#endif
