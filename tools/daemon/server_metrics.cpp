#include "server_metrics.hpp"

#include "tanagerhoist/core/printable_text.hpp"

#include <array>

namespace tanagerhoist
{
namespace
{

/// A figure of a server that the coordinator tells.
struct told_figure
{
    const char* name;
    double server_deviation::*value;
};
constexpr std::array<told_figure, 3> told_figures{{
    {"tanagerhoist_server_failing_share", &server_deviation::failing_share},
    {"tanagerhoist_server_slowness", &server_deviation::slowness},
    {"tanagerhoist_server_share", &server_deviation::share},
}};

void print(std::ostream& out, const char* name, const std::string& server,
           double value)
{
    out << name << "{server=\"" << label_value(server) << "\"} " << value
        << '\n';
}

} // namespace

void print_servers(std::ostream& out, moment now, const proxy& from)
{
    out << "# TYPE tanagerhoist_server_running gauge\n";
    for (const auto& [id, server] : from.servers())
    {
        const bool told = proxy::is_deviation_told(now, server);
        if (server.running > 0 || told)
        {
            print(out, "tanagerhoist_server_running", id, server.running);
        }
    }
    for (const auto& figure : told_figures)
    {
        out << "# TYPE " << figure.name << " gauge\n";
        for (const auto& [id, server] : from.servers())
        {
            if (proxy::is_deviation_told(now, server))
            {
                print(out, figure.name, id, (*server.deviation).*figure.value);
            }
        }
    }
}

} // namespace tanagerhoist
