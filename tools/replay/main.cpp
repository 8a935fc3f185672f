#include "tanagerhoist/adapter/json_codec.hpp"
#include "tanagerhoist/adapter/platform_address.hpp"
#include "tanagerhoist/adapter/run_reader.hpp"
#include "tanagerhoist/record/replay.hpp"

#include <cxxopts.hpp>

#include <exception>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace
{

using namespace tanagerhoist;

// Exit codes, as --help lists them.
constexpr int exit_equal = 0;
constexpr int exit_usage = 1;
constexpr int exit_unreadable = 2;
constexpr int exit_difference = 3;
constexpr int exit_gap = 4;

constexpr const char* exit_help =
    "\nExit codes: 0 every recorded input gave the recorded actions; 1 invalid "
    "command\nline; 2 the record could not be read; 3 the actions differ, the "
    "first difference is\nprinted; 4 the record lacks an input, the first "
    "missing index is printed.\n";

using string_list = std::vector<std::string>;

/// Reads batch `number` of the replayed run.
using batch_source =
    std::function<store_read(std::uint64_t number, proto::RecordBatch& batch)>;

cxxopts::Options make_options()
{
    cxxopts::Options options("tanagerhoist-replay",
                             "Feeds a recorded run to the decision layer and "
                             "compares its actions.");
    options.add_options()("platform", "platform service as ADDRESS:PORT",
                          cxxopts::value<std::string>())(
        "vm", "VM whose run is replayed", cxxopts::value<std::string>())(
        "run", "start of the run as listed in the index; the latest if absent",
        cxxopts::value<std::uint64_t>()->default_value("0"))(
        "file", "file of a saved batch; may be repeated, in order",
        cxxopts::value<string_list>())("help", "print this help")(
        "version", "print the version");
    return options;
}

batch_source batches_from_files(string_list names)
{
    return [names = std::move(names)](std::uint64_t number,
                                      proto::RecordBatch& batch)
    {
        if (number >= names.size())
        {
            return store_read::absent;
        }
        std::ifstream file(names[number], std::ios::binary);
        return file && batch.ParseFromIstream(&file) ? store_read::done
                                                     : store_read::unavailable;
    };
}

int print_failure(const replay_failure& failure)
{
    if (failure.why == replay_failure::reason::gap)
    {
        std::cout << "input " << failure.index
                  << " is missing: the record can't be replayed past it\n";
        return exit_gap;
    }
    std::cout << "difference at input " << failure.index << "\ninput "
              << to_json(failure.expected.input()) << "\nexpected "
              << failure.expected.action_count() << " actions, digest "
              << failure.expected.actions_digest() << "\ngot "
              << failure.actions.size() << " actions, digest "
              << failure.actions_digest << '\n';
    for (const auto& action : failure.actions)
    {
        std::cout << "action " << to_json(action) << '\n';
    }
    return exit_difference;
}

int replay_batches(const batch_source& read_batch)
{
    std::unique_ptr<replay> replayer;
    for (std::uint64_t number = 0;; ++number)
    {
        proto::RecordBatch batch;
        const auto result = read_batch(number, batch);
        if (result == store_read::unavailable ||
            (result == store_read::absent && number == 0))
        {
            std::cerr << "batch " << number << " could not be read\n";
            return exit_unreadable;
        }
        if (result == store_read::absent)
        {
            std::cout << replayer->matching_inputs()
                      << " inputs replayed equal\n";
            return exit_equal;
        }
        if (!replayer)
        {
            replayer = std::make_unique<replay>(batch.start());
        }
        if (const auto failure = replayer->feed(batch))
        {
            std::cout << replayer->matching_inputs()
                      << " inputs replayed equal\n";
            return print_failure(*failure);
        }
    }
}

int replay_from_store(const cxxopts::ParseResult& given)
{
    const auto client =
        make_http_platform_client(given["platform"].as<std::string>());
    run_reader reader(*client);
    const auto vm = given["vm"].as<std::string>();
    auto start = given["run"].as<std::uint64_t>();
    if (start == 0)
    {
        std::vector<std::uint64_t> starts;
        if (reader.runs(vm, starts) != store_read::done || starts.empty())
        {
            std::cerr << "the index of " << vm << " could not be read\n";
            return exit_unreadable;
        }
        start = starts.back();
    }
    return replay_batches([&](std::uint64_t number, proto::RecordBatch& batch)
                          { return reader.inputs(vm, start, number, batch); });
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
            return exit_equal;
        }
        if (given.count("version") > 0)
        {
            std::cout << "tanagerhoist-replay " TANAGERHOIST_VERSION "\n";
            return exit_equal;
        }
        if (given.count("file") > 0)
        {
            return replay_batches(
                batches_from_files(given["file"].as<string_list>()));
        }
        if (given.count("platform") > 0 && given.count("vm") > 0)
        {
            return replay_from_store(given);
        }
        std::cerr
            << "--file, or --platform and --vm, is required; see --help\n";
        return exit_usage;
    }
    catch (const std::exception& error)
    {
        std::cerr << "tanagerhoist-replay: " << error.what() << '\n';
        return exit_usage;
    }
}
