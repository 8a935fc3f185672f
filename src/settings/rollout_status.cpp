#include "tanagerhoist/settings/rollout_status.hpp"

#include "tanagerhoist/decision/settings_rows.hpp"

#include <array>
#include <ctime>

namespace tanagerhoist
{
namespace
{

constexpr std::uint64_t us_per_second = 1000000;

/// Formats a wall time in UTC as ISO 8601, in whole seconds.
std::string utc_text(std::uint64_t wall_us)
{
    const auto seconds = static_cast<std::time_t>(wall_us / us_per_second);
    std::tm utc_time{};
    std::array<char, sizeof "YYYY-MM-DDThh:mm:ssZ"> text{};
    if (gmtime_r(&seconds, &utc_time) == nullptr ||
        std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ",
                      &utc_time) == 0)
    {
        return "an unknown time";
    }
    return text.data();
}

/// Reads a row into `message`, which stays empty if the row does not exist.
/// Returns whether the platform answered and the row could be parsed.
bool read_into(platform_client& platform, const std::string& row,
               google::protobuf::Message& message)
{
    const auto answer = platform.call(read_row(row));
    return answer.reply && message.ParseFromString(answer.reply->value());
}

std::string describe_vm(const vm_rollout_status& entry, std::uint64_t head)
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
                utc_text(entry.row.wall_us());
    }
    return line + (entry.vm.leaving() ? " (leaving)\n" : "\n");
}

} // namespace

std::vector<std::string> rollout_status::lagging() const
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

std::optional<rollout_status> read_rollout_status(platform_client& platform)
{
    rollout_status status;
    const auto head = read_head(platform);
    proto::PlatformCall list;
    list.mutable_list();
    const auto listed = platform.call(list);
    if (!head || !listed.reply)
    {
        return std::nullopt;
    }
    status.head = *head;
    for (const auto& vm : listed.reply->listed())
    {
        vm_rollout_status entry;
        entry.vm = vm;
        if (!read_into(platform, vm_status_row(vm.vm()), entry.row))
        {
            return std::nullopt;
        }
        status.vms.push_back(std::move(entry));
    }
    return status;
}

std::string to_text(const rollout_status& status)
{
    if (status.head.version() == 0)
    {
        return "no settings are published\n";
    }
    std::string text = "version " + std::to_string(status.head.version()) +
                       " published by " + status.head.publisher() + '\n';
    for (const auto& entry : status.vms)
    {
        text += describe_vm(entry, status.head.version());
    }
    const auto lagging_vms = status.lagging();
    return text +
           (lagging_vms.empty()
                ? "in force on every listed VM\n"
                : "NOT YET IN FORCE on " + std::to_string(lagging_vms.size()) +
                      " of " + std::to_string(status.vms.size()) +
                      " listed VMs\n");
}

} // namespace tanagerhoist
