#include "tanagerhoist/adapter/json_codec.hpp"
#include "tanagerhoist/adapter/platform_address.hpp"
#include "tanagerhoist/adapter/run_reader.hpp"
#include "tanagerhoist/record/explanation.hpp"
#include "tanagerhoist/record/timeline.hpp"
#include "tanagerhoist/record/timeline_svg.hpp"

#include <cxxopts.hpp>

#include <exception>
#include <fstream>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

namespace
{

using namespace tanagerhoist;

// Exit codes, as --help lists them.
constexpr int exit_ok = 0;
constexpr int exit_usage = 1;
constexpr int exit_unreadable = 2;
constexpr int exit_no_events = 3;

constexpr const char* exit_help =
    "\nWithout --vm, the VMs in the platform's list are read; name those that "
    "left it.\n--from and --to are wall times in microseconds since 1970, "
    "UTC.\n\nExit codes: 0 done; 1 invalid command line; 2 a batch could not "
    "be "
    "read, the\nothers are shown; 3 no event matches.\n";

using string_list = std::vector<std::string>;

cxxopts::Options make_options()
{
    cxxopts::Options options(
        "tanagerhoist-timeline",
        "Shows the events of all processes as one timeline.");
    options.add_options()("platform", "platform service as ADDRESS:PORT",
                          cxxopts::value<std::string>())(
        "vm", "VM to read; may be repeated", cxxopts::value<string_list>())(
        "file", "file of a saved batch; may be repeated",
        cxxopts::value<string_list>())("request", "only this request",
                                       cxxopts::value<std::string>())(
        "session", "only this session", cxxopts::value<std::string>())(
        "workspace", "only this workspace", cxxopts::value<std::string>())(
        "database", "only this database", cxxopts::value<std::string>())(
        "from", "only from this time on", cxxopts::value<std::int64_t>())(
        "to", "only before this time", cxxopts::value<std::int64_t>())(
        "json", "print JSON lines")("svg", "write an SVG image to this file",
                                    cxxopts::value<std::string>())(
        "explain", "explain the answer to this request",
        cxxopts::value<std::string>())("help", "print this help")(
        "version", "print the version");
    return options;
}

std::string string_option(const cxxopts::ParseResult& given, const char* name)
{
    return given.count(name) > 0 ? given[name].as<std::string>()
                                 : std::string();
}

event_filter make_filter(const cxxopts::ParseResult& given)
{
    event_filter filter;
    filter.request = string_option(given, "request");
    filter.session = string_option(given, "session");
    filter.workspace = string_option(given, "workspace");
    filter.database = string_option(given, "database");
    if (given.count("from") > 0)
    {
        filter.from = microseconds(given["from"].as<std::int64_t>());
    }
    if (given.count("to") > 0)
    {
        filter.to = microseconds(given["to"].as<std::int64_t>());
    }
    return filter;
}

/// The batches that could be read.
struct batch_collection
{
    std::vector<proto::EventBatch> batches;
    bool complete = true; ///< false if any could not be read

    void report_missing(const std::string& what)
    {
        std::cerr << "could not read " << what << '\n';
        complete = false;
    }
};

void read_files(const string_list& paths, batch_collection& all)
{
    for (const auto& name : paths)
    {
        std::ifstream file(name, std::ios::binary);
        proto::EventBatch batch;
        if (!file || !batch.ParseFromIstream(&file))
        {
            all.report_missing(name);
            continue;
        }
        all.batches.push_back(std::move(batch));
    }
}

void read_store(run_reader& reader, string_list vms, batch_collection& all)
{
    if (vms.empty() && reader.listed_vms(vms) != store_read::done)
    {
        all.report_missing("the platform's list");
    }
    for (const auto& vm : vms)
    {
        std::vector<std::uint64_t> starts;
        if (reader.runs(vm, starts) != store_read::done)
        {
            all.report_missing("the index of " + vm);
        }
        for (const auto start : starts)
        {
            if (reader.events(vm, start, all.batches) != store_read::done)
            {
                all.report_missing("all batches of " + vm);
            }
        }
    }
}

batch_collection read_batches(const cxxopts::ParseResult& given)
{
    batch_collection all;
    if (given.count("file") > 0)
    {
        read_files(given["file"].as<string_list>(), all);
    }
    if (given.count("platform") > 0)
    {
        const auto client =
            make_http_platform_client(given["platform"].as<std::string>());
        run_reader reader(*client);
        read_store(reader,
                   given.count("vm") > 0 ? given["vm"].as<string_list>()
                                         : string_list(),
                   all);
    }
    return all;
}

int print_timeline(const cxxopts::ParseResult& given)
{
    const auto all = read_batches(given);
    const auto merged = merge(all.batches);
    if (merged.dropped > 0)
    {
        std::cerr << merged.dropped
                  << " events were dropped by the VMs that recorded them\n";
    }
    const int code = all.complete ? exit_ok : exit_unreadable;
    if (given.count("explain") > 0)
    {
        for (const auto& line :
             explain(merged.events, given["explain"].as<std::string>()))
        {
            std::cout << line << '\n';
        }
        return code;
    }
    const auto events = select(merged.events, make_filter(given));
    if (given.count("svg") > 0)
    {
        std::ofstream file(given["svg"].as<std::string>());
        if (!(file << to_svg(events)))
        {
            std::cerr << "could not write the SVG image\n";
            return exit_usage;
        }
        return code;
    }
    for (const auto& event : events)
    {
        std::cout << (given.count("json") > 0 ? to_json(event) : to_text(event))
                  << '\n';
    }
    return events.empty() && all.complete ? exit_no_events : code;
}

} // namespace

int main(int argc, char** argv)
{
    auto options = make_options();
    try
    {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0)
        {
            std::cout << options.help() << exit_help;
            return exit_ok;
        }
        if (given.count("version") > 0)
        {
            std::cout << "tanagerhoist-timeline " TANAGERHOIST_VERSION "\n";
            return exit_ok;
        }
        if (given.count("platform") + given.count("file") == 0)
        {
            std::cerr << "--platform or --file is required; see --help\n";
            return exit_usage;
        }
        return print_timeline(given);
    }
    catch (const std::exception& error)
    {
        std::cerr << "tanagerhoist-timeline: " << error.what() << '\n';
        return exit_usage;
    }
}
