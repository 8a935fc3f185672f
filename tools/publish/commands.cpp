#include "commands.hpp"

#include "check_config.hpp"

#include "tanagerhoist/decision/authenticator.hpp"
#include "tanagerhoist/decision/hash.hpp"
#include "tanagerhoist/decision/publish_plan.hpp"
#include "tanagerhoist/decision/settings_rows.hpp"
#include "tanagerhoist/settings/ini_reader.hpp"
#include "tanagerhoist/settings/read_or_print.hpp"
#include "tanagerhoist/settings/rollout_status.hpp"
#include "tanagerhoist/settings/settings_diff.hpp"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <thread>

namespace tanagerhoist::publish
{
namespace
{

using std::chrono::steady_clock;

constexpr std::size_t random_bytes = 16;
constexpr std::chrono::milliseconds retry_delay{200};

/// Cryptographically random bytes for salts and publish ids; empty on failure.
std::string random_byte_string()
{
    std::string bytes(random_bytes, '\0');
    auto* data = reinterpret_cast<unsigned char*>(bytes.data());
    return RAND_bytes(data, static_cast<int>(bytes.size())) == 1
               ? bytes
               : std::string();
}

/// Files named on the command line, with directories expanded. A directory
/// without .ini files stays in the list, so that reading it reports an error.
std::vector<std::filesystem::path> expand_paths(const command_line& line)
{
    std::vector<std::filesystem::path> files;
    for (const auto& path : line.paths)
    {
        auto found = list_settings_files(path);
        if (found.empty())
        {
            found.push_back(path);
        }
        files.insert(files.end(), found.begin(), found.end());
    }
    return files;
}

/// Reads the settings and passes them to `use`, or prints all of their errors.
template <class Use>
exit_code with_valid_settings(const command_line& line, Use use)
{
    auto settings = read_or_print<proto::Settings>(
        [&line] { return read_settings(expand_paths(line)); }, std::cerr);
    if (!settings)
    {
        std::cerr << "nothing was published\n";
        return exit_code::settings_error;
    }
    return use(std::move(*settings));
}

exit_code report_no_answer()
{
    std::cerr << "the platform gave no usable answer; nothing was changed\n";
    return exit_code::nothing_published;
}

exit_code check(const command_line& line, platform_client& /*platform*/)
{
    if (line.paths.size() == 1 && is_config(line.paths.front()))
    {
        return check_config(line);
    }
    return with_valid_settings(
        line,
        [](const proto::Settings& settings)
        {
            std::cout << "no errors: " << settings.database_size()
                      << " databases, " << settings.server_size()
                      << " servers, " << settings.workspace_size()
                      << " workspaces, " << settings.key_size() << " keys, "
                      << settings.route_size() << " routes\n";
            return exit_code::ok;
        });
}

/// Reads the settings that `head` refers to; empty ones for version 0.
std::optional<proto::Settings>
read_published_settings(platform_client& platform,
                        const proto::SettingsHead& head)
{
    if (head.version() == 0)
    {
        return proto::Settings();
    }
    const auto answer = platform.call(read_object(head.bundle()));
    return answer.reply ? open_bundle(head.bundle(), answer.reply->value())
                        : std::nullopt;
}

exit_code diff(const command_line& line, platform_client& platform)
{
    return with_valid_settings(
        line,
        [&platform](const proto::Settings& settings)
        {
            const auto head = read_head(platform);
            const auto current = head ? read_published_settings(platform, *head)
                                      : std::optional<proto::Settings>();
            if (!current)
            {
                return report_no_answer();
            }
            const auto changes = diff_settings(*current, settings);
            for (const auto& change : changes)
            {
                std::cout << change << '\n';
            }
            std::cout << changes.size() << " changes against version "
                      << head->version() << "; publish with --from "
                      << head->version() << '\n';
            return exit_code::ok;
        });
}

/// Makes the plan's platform calls one by one, and pauses after a failed one.
publish_result execute_plan(publish_plan& plan, platform_client& platform)
{
    while (const auto call = plan.next())
    {
        const auto answer = platform.call(*call);
        if (answer.reply)
        {
            plan.on_reply(*answer.reply);
            continue;
        }
        plan.on_failure(answer.sent);
        std::this_thread::sleep_for(retry_delay);
    }
    return plan.result();
}

/// Waits until every listed VM has acknowledged the published version
/// or a later one.
exit_code wait_for_rollout(std::chrono::seconds wait, platform_client& platform)
{
    const auto deadline = steady_clock::now() + wait;
    std::optional<rollout_status> report;
    while (true)
    {
        report = read_rollout_status(platform);
        if (report && report->lagging().empty())
        {
            std::cout << "in force on every listed VM\n";
            return exit_code::ok;
        }
        if (steady_clock::now() >= deadline)
        {
            break;
        }
        std::this_thread::sleep_for(retry_delay);
    }
    std::cerr << (report ? to_text(*report)
                         : "unknown where it is in force: the platform "
                           "gave no usable answer\n");
    return exit_code::not_in_force;
}

exit_code to_exit_code(publish_outcome outcome)
{
    switch (outcome)
    {
    case publish_outcome::published:
        return exit_code::ok;
    case publish_outcome::conflict:
        return exit_code::conflict;
    case publish_outcome::nothing_published:
        return exit_code::nothing_published;
    case publish_outcome::unknown:
        break;
    }
    return exit_code::unknown;
}

exit_code publish(const command_line& line, platform_client& platform)
{
    if (!line.from_version)
    {
        std::cerr << "publish needs --from VERSION, the version that the files "
                     "were edited from; diff shows the one in force\n";
        return exit_code::usage;
    }
    return with_valid_settings(
        line,
        [&](proto::Settings settings)
        {
            publish_request request;
            request.settings = std::move(settings);
            request.from_version = *line.from_version;
            request.publish_id = to_hex(random_byte_string());
            request.publisher = line.publisher;
            publish_plan plan(std::move(request));
            const auto result = execute_plan(plan, platform);
            const auto code = to_exit_code(result.outcome);
            (code == exit_code::ok ? std::cout : std::cerr)
                << to_text(result) << '\n';
            return code == exit_code::ok && line.wait.count() > 0
                       ? wait_for_rollout(line.wait, platform)
                       : code;
        });
}

exit_code status(const command_line& /*line*/, platform_client& platform)
{
    const auto report = read_rollout_status(platform);
    if (!report)
    {
        return report_no_answer();
    }
    std::cout << to_text(*report);
    return report->lagging().empty() ? exit_code::ok : exit_code::not_in_force;
}

exit_code hash_key(const command_line& /*line*/, platform_client& /*platform*/)
{
    std::string secret;
    std::getline(std::cin, secret);
    const std::string salt = random_byte_string();
    if (secret.empty() || salt.empty())
    {
        std::cerr << "expected a secret on standard input\n";
        return exit_code::usage;
    }
    std::cout << "salt = " << to_hex(salt) << '\n'
              << "hash = " << key_hash(salt, secret) << '\n';
    return exit_code::ok;
}

struct command
{
    std::string_view name;
    exit_code (*run)(const command_line&, platform_client&);
};

constexpr std::array<command, 5> commands{{{"check", &check},
                                           {"diff", &diff},
                                           {"publish", &publish},
                                           {"status", &status},
                                           {"hash-key", &hash_key}}};

} // namespace

exit_code run(const command_line& line, platform_client& platform)
{
    const auto* found = std::find_if(commands.begin(), commands.end(),
                                     [&line](const command& c)
                                     { return c.name == line.command; });
    if (found == commands.end())
    {
        std::cerr << "unknown command " << line.command << "; see --help\n";
        return exit_code::usage;
    }
    return found->run(line, platform);
}

} // namespace tanagerhoist::publish
