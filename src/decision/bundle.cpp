#include "tanagerhoist/decision/bundle.hpp"

#include "tanagerhoist/decision/hash.hpp"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>

namespace tanagerhoist
{
namespace
{

/// Sorts the sections of one type by name.
template <class Sections>
void sort_by_name(Sections& sections)
{
    std::stable_sort(sections.begin(), sections.end(),
                     [](const auto& a, const auto& b)
                     { return a.name() < b.name(); });
}

std::string serialize(const proto::Settings& settings)
{
    std::string content;
    {
        google::protobuf::io::StringOutputStream stream(&content);
        google::protobuf::io::CodedOutputStream output(&stream);
        output.SetSerializationDeterministic(true);
        settings.SerializeToCodedStream(&output);
    }
    return content;
}

std::string object_name(std::string_view content)
{
    return "settings/" + to_hex(sha256(content));
}

} // namespace

settings_bundle make_bundle(proto::Settings settings)
{
    sort_by_name(*settings.mutable_database());
    sort_by_name(*settings.mutable_server());
    sort_by_name(*settings.mutable_workspace());
    sort_by_name(*settings.mutable_key());
    sort_by_name(*settings.mutable_route());
    std::string content = serialize(settings);
    return {object_name(content), std::move(content)};
}

std::optional<proto::Settings> open_bundle(std::string_view name,
                                           std::string_view content)
{
    proto::Settings settings;
    if (name != object_name(content) ||
        !settings.ParseFromArray(content.data(),
                                 static_cast<int>(content.size())))
    {
        return std::nullopt;
    }
    return settings;
}

} // namespace tanagerhoist
