#include "tanagerhoist/settings/force_report.hpp"

#include "tanagerhoist/decision/settings_rows.hpp"

#include <array>
#include <ctime>

namespace tanagerhoist
{
namespace
{

constexpr std::uint64_t us_per_second = 1000000;

/// Time of day in UTC, as ISO 8601.
std::string utc(std::uint64_t wall_us)
{
    const auto seconds = static_cast<std::time_t>(wall_us / us_per_second);
    std::tm parts{};
    std::array<char, sizeof "YYYY-MM-DDThh:mm:ssZ"> text{};
    if (gmtime_r(&seconds, &parts) == nullptr ||
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts) ==
            0)
    {
        return "an unknown time";
    }
    return text.data();
}

/// Reads a row into `message`, which stays empty if the row is absent.
bool read_into(platform_client& platform, const std::string& row,
               google::protobuf::Message& message)
{
    const auto answer = platform.call(read_row(row));
    return answer.reply && message.ParseFromString(answer.reply->value());
}

std::string line_of(const vm_in_force& entry, std::uint64_t head)
{
    const std::uint64_t version = entry.row.settings_version();
    std::string line = entry.vm.vm() + ' ' + entry.vm.data_centre();
    if (version == 0)
    {
        line += ": LAGS, has acknowledged nothing";
    }
    else
    {
        line += std::string(version < head ? ": LAGS, " : ": ") + "version " +
                std::to_string(version) + " in force since " +
                utc(entry.row.wall_us());
    }
    return line + (entry.vm.leaving() ? " (leaving)\n" : "\n");
}

} // namespace

std::vector<std::string> force_report::lagging() const
{
    std::vector<std::string> names;
    for (const auto& entry : vms)
    {
        if (entry.row.settings_version() < head.version())
        {
            names.push_back(entry.vm.vm());
        }
    }
    return names;
}

std::optional<proto::SettingsHead> read_head(platform_client& platform)
{
    proto::SettingsHead head;
    return read_into(platform, settings_head_row, head) ? std::optional(head)
                                                        : std::nullopt;
}

std::optional<force_report> read_force(platform_client& platform)
{
    force_report report;
    const auto head = read_head(platform);
    proto::PlatformCall list;
    list.mutable_list();
    const auto listed = platform.call(list);
    if (!head || !listed.reply)
    {
        return std::nullopt;
    }
    report.head = *head;
    for (const auto& vm : listed.reply->listed())
    {
        vm_in_force entry;
        entry.vm = vm;
        if (!read_into(platform, vm_status_row(vm.vm()), entry.row))
        {
            return std::nullopt;
        }
        report.vms.push_back(std::move(entry));
    }
    return report;
}

std::string to_text(const force_report& report)
{
    if (report.head.version() == 0)
    {
        return "nothing is published\n";
    }
    std::string text = "version " + std::to_string(report.head.version()) +
                       " published by " + report.head.publisher() + '\n';
    for (const auto& entry : report.vms)
    {
        text += line_of(entry, report.head.version());
    }
    const auto behind = report.lagging();
    return text + (behind.empty() ? "in force on every listed VM\n"
                                  : "NOT YET IN FORCE on " +
                                        std::to_string(behind.size()) + " of " +
                                        std::to_string(report.vms.size()) +
                                        " listed VMs\n");
}

} // namespace tanagerhoist
