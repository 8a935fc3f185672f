#ifndef TANAGERHOIST_ADAPTER_JSON_CODEC_HPP
#define TANAGERHOIST_ADAPTER_JSON_CODEC_HPP

#include <google/protobuf/message.h>

#include <string>
#include <string_view>

namespace tanagerhoist
{

/// Serializes `message` in protobuf's JSON mapping with the field names of the
/// schema. Fields with their default value are omitted.
std::string to_json(const google::protobuf::Message& message);

/// As `to_json`, but also writes scalar fields with their default value, for
/// readers that do not know the schema.
std::string to_full_json(const google::protobuf::Message& message);

/// Parses protobuf's JSON mapping; unknown fields are an error.
/// @return false if `text` is not a valid message of the type of `message`
bool from_json(std::string_view text, google::protobuf::Message& message);

} // namespace tanagerhoist

#endif
