#ifndef TANAGERHOIST_STANDIN_JSON_HPP
#define TANAGERHOIST_STANDIN_JSON_HPP

#include <google/protobuf/util/json_util.h>

#include <optional>
#include <string>

namespace tanagerhoist::standin
{

/// Serializes `message` to JSON; "{}" on failure.
inline std::string to_json(const google::protobuf::Message& message)
{
    std::string json;
    const auto status =
        google::protobuf::util::MessageToJsonString(message, &json);
    return status.ok() ? json : "{}";
}

/// Parses a `Message` from JSON; empty if malformed.
template <typename Message>
std::optional<Message> from_json(const std::string& json)
{
    Message message;
    if (!google::protobuf::util::JsonStringToMessage(json, &message).ok())
    {
        return std::nullopt;
    }
    return message;
}

} // namespace tanagerhoist::standin

#endif
