#include "tanagerhoist/adapter/json_codec.hpp"

#include <google/protobuf/util/json_util.h>

namespace tanagerhoist
{

namespace
{

std::string print_json(const google::protobuf::Message& message,
                       bool with_defaults)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = with_defaults;
    std::string text;
    // Conversion fails only for messages that contain google.protobuf.Any.
    const auto status =
        google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : std::string("{}");
}

} // namespace

std::string to_json(const google::protobuf::Message& message)
{
    return print_json(message, false);
}

std::string to_full_json(const google::protobuf::Message& message)
{
    return print_json(message, true);
}

bool from_json(std::string_view text, google::protobuf::Message& message)
{
    return google::protobuf::util::JsonStringToMessage(
               google::protobuf::StringPiece(text.data(), text.size()),
               &message)
        .ok();
}

} // namespace tanagerhoist
