#include "daemon.hpp"
#include "session_daemon.hpp"
#include "state_log.hpp"
#include "tanagerhoist/adapter/http_platform_client.hpp"
#include "tanagerhoist/adapter/record_uploader.hpp"
#include "tanagerhoist/core/source_id.hpp"
#include "tanagerhoist/record/replay.hpp"
#include "tanagerhoist/settings/ini_reader.hpp"
#include "tanagerhoist/settings/read_or_print.hpp"

#include <cxxopts.hpp>
#include <spdlog/spdlog.h>

#include <chrono>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>

namespace
{

// Exit codes, as --help lists them.
constexpr int exit_drained = 0;
constexpr int exit_usage = 1;
constexpr int exit_settings = 2;
constexpr int exit_error = 3;
constexpr int exit_cut_off = 4;

constexpr const char* exit_help =
    "\nExit codes: 0 drained, every request answered; 1 wrong command line; "
    "2 fault in\nthe settings file; 3 ended by an error, for example a port "
    "that is "
    "taken; 4 ended\nbefore the drain was over.\n";

constexpr tanagerhoist::milliseconds record_timeout{1000};
constexpr tanagerhoist::milliseconds record_interval{1000};

tanagerhoist::proto::RecordStart
start_of(const tanagerhoist::proto::DaemonSettings& settings)
{
    const auto wall = std::chrono::duration_cast<tanagerhoist::microseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    tanagerhoist::proto::RecordStart start;
    start.set_vm(settings.vm().name());
    start.set_data_centre(settings.vm().data_centre());
    start.set_program_version(TANAGERHOIST_VERSION);
    start.set_wall_us(static_cast<std::uint64_t>(wall.count()));
    return start;
}

int serve(const tanagerhoist::proto::DaemonSettings& settings)
{
    tanagerhoist::metrics counters;
    const auto start = start_of(settings);
    tanagerhoist::http_platform_client store(
        settings.platform().address(),
        static_cast<std::uint16_t>(settings.platform().port()), record_timeout);
    tanagerhoist::recorder_options bounds;
    bounds.inputs = settings.vm().record() != "no";
    tanagerhoist::recorder kept(bounds, start, store, counters);
    const tanagerhoist::record_uploader uploader(kept, record_interval);
    tanagerhoist::state_log record(kept, counters);
    const auto options = tanagerhoist::options_of(start);
    tanagerhoist::daemon_process process(settings, options, record, counters);
    spdlog::info("{} serving as {} on {}:{}", counters.summary(),
                 settings.vm().name(), settings.listen().address(),
                 settings.listen().caller_port());
    const bool clean = process.run();
    spdlog::info("{} ended", counters.summary());
    return clean ? exit_drained : exit_cut_off;
}

/// Serves sessions and ends the process. A return from main() would wait for
/// fibers that nothing resumes any more.
[[noreturn]] void
serve_sessions(const tanagerhoist::proto::SessionDaemonSettings& settings,
               const std::string& file)
{
    tanagerhoist::session_daemon daemon(settings, file);
    daemon.run();
    std::_Exit(exit_drained);
}

/// Serves with the settings of `file`, or prints all errors in it.
int serve_file(const std::string& file)
{
    using namespace tanagerhoist;
    if (has_sessions_section(file))
    {
        const auto sessions = read_or_print<proto::SessionDaemonSettings>(
            [&file] { return read_session_daemon_settings(file); }, std::cerr);
        if (!sessions)
        {
            return exit_settings;
        }
        serve_sessions(*sessions, file);
    }
    const auto settings = read_or_print<proto::DaemonSettings>(
        [&file] { return read_daemon_settings(file); }, std::cerr);
    if (!settings)
    {
        return exit_settings;
    }
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l " + settings->vm().name() +
                        " %v");
    return serve(*settings);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("tanagerhoistd",
                             "Database proxy with session consistency.");
    options.add_options()("settings", "INI file of this VM",
                          cxxopts::value<std::string>())(
        "help", "print this help")("version", "print the version");
    options.parse_positional({"settings"});
    options.positional_help("SETTINGS.ini");
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help() << exit_help;
            return exit_drained;
        }
        if (given.count("version") > 0)
        {
            std::cout << "tanagerhoistd " TANAGERHOIST_VERSION ", source id "
                      << tanagerhoist::source_id() << '\n';
            return exit_drained;
        }
        if (given.count("settings") == 0)
        {
            std::cerr << options.help() << exit_help;
            return exit_usage;
        }
        return serve_file(given["settings"].as<std::string>());
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << error.what() << '\n';
        return exit_usage;
    }
    catch (const std::exception& error)
    {
        std::cerr << "ended by an error: " << error.what() << '\n';
        return exit_error;
    }
}
