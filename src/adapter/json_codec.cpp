#include "tanagerhoist/adapter/json_codec.hpp"

#include <google/protobuf/util/json_util.h>

namespace tanagerhoist
{

namespace
{

std::string print(const google::protobuf::Message& message, bool defaults)
{
    google::protobuf::util::JsonPrintOptions options;
    options.preserve_proto_field_names = true;
    options.always_print_primitive_fields = defaults;
    std::string text;
    // Printing fails only for messages with google.protobuf.Any.
    const auto status =
        google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : std::string("{}");
}

} // namespace

std::string to_json(const google::protobuf::Message& message)
{
    return print(message, false);
}

std::string to_full_json(const google::protobuf::Message& message)
{
    return print(message, true);
}

bool from_json(std::string_view text, google::protobuf::Message& message)
{
    return google::protobuf::util::JsonStringToMessage(
               google::protobuf::StringPiece(text.data(), text.size()),
               &message)
        .ok();
}

} // namespace tanagerhoist
