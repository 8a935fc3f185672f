#include "tanagerhoist/settings/ini_reader.hpp"

#include "settings_builder.hpp"

#include <boost/leaf/error.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <system_error>

namespace tanagerhoist
{
namespace
{

namespace leaf = boost::leaf;
namespace fs = std::filesystem;

/// Maximum size of a settings file in bytes.
constexpr std::size_t max_file_size = std::size_t{1024} * 1024;

/// Reads the files. Adds an error for each file that cannot be read. A file
/// that is too large is cut one byte above the limit; `read_set` reports it.
std::vector<settings_text> read_files(const std::vector<fs::path>& files,
                                      settings_errors& errors)
{
    std::vector<settings_text> texts;
    for (const auto& path : files)
    {
        std::ifstream stream(path, std::ios::binary);
        if (!stream || !fs::is_regular_file(path))
        {
            errors.all.push_back(
                {settings_error_kind::unreadable_file, path.string(), 0, "", "",
                 "an unreadable file", "a readable settings file"});
            continue;
        }
        std::string content(max_file_size + 1, '\0');
        stream.read(content.data(),
                    static_cast<std::streamsize>(content.size()));
        content.resize(static_cast<std::size_t>(stream.gcount()));
        texts.push_back({path.string(), std::move(content)});
    }
    return texts;
}

/// Parses texts as one set into a message of type `Root`.
template <class Root>
leaf::result<Root> read_set(const std::vector<settings_text>& texts,
                            settings_errors errors)
{
    Root root;
    settings_builder builder(root, errors);
    for (const auto& text : texts)
    {
        if (text.content.size() > max_file_size)
        {
            errors.all.push_back(
                {settings_error_kind::oversized_file, text.file, 0, "", "",
                 "more than " + std::to_string(max_file_size) + " bytes",
                 "a smaller file"});
            continue;
        }
        for (const auto& section : parse_ini(text, errors))
        {
            builder.add(section);
        }
    }
    if (!texts.empty())
    {
        builder.finish(texts.front().file);
    }
    else if (errors.all.empty())
    {
        errors.all.push_back({settings_error_kind::unreadable_file, "settings",
                              0, "", "", "no file", "at least one"});
    }
    if (!errors.all.empty())
    {
        return leaf::new_error(std::move(errors));
    }
    return root;
}

} // namespace

leaf::result<proto::Settings> read_settings(const std::vector<fs::path>& files)
{
    settings_errors errors;
    const auto texts = read_files(files, errors);
    return read_set<proto::Settings>(texts, std::move(errors));
}

leaf::result<proto::Settings>
read_settings_texts(const std::vector<settings_text>& texts)
{
    return read_set<proto::Settings>(texts, {});
}

leaf::result<proto::DaemonSettings> read_daemon_settings(const fs::path& file)
{
    settings_errors errors;
    const auto texts = read_files({file}, errors);
    return read_set<proto::DaemonSettings>(texts, std::move(errors));
}

leaf::result<proto::DaemonSettings>
read_daemon_settings_text(const settings_text& text)
{
    return read_set<proto::DaemonSettings>({text}, {});
}

leaf::result<proto::SessionDaemonSettings>
read_session_daemon_settings(const fs::path& file)
{
    settings_errors errors;
    const auto texts = read_files({file}, errors);
    return read_set<proto::SessionDaemonSettings>(texts, std::move(errors));
}

bool has_sessions_section(const fs::path& file)
{
    settings_errors errors;
    for (const auto& text : read_files({file}, errors))
    {
        for (const auto& section : parse_ini(text, errors))
        {
            if (section.header == "sessions")
            {
                return true;
            }
        }
    }
    return false;
}

std::vector<fs::path> list_settings_files(const fs::path& directory)
{
    std::vector<fs::path> files;
    std::error_code error;
    for (fs::directory_iterator entry(directory, error), end;
         !error && entry != end; entry.increment(error))
    {
        if (entry->path().extension() == ".ini")
        {
            files.push_back(entry->path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

} // namespace tanagerhoist
