#include "tanagerhoist/record/timeline_svg.hpp"

#include "tanagerhoist/core/printable_text.hpp"
#include "tanagerhoist/decision/hybrid_clock.hpp"
#include "tanagerhoist/record/event_kind.hpp"
#include "tanagerhoist/record/timeline.hpp"

#include <algorithm>
#include <map>
#include <sstream>

namespace tanagerhoist
{
namespace
{

// Sizes in pixels.
constexpr double margin = 90;
constexpr double plot_width = 1400;
constexpr double lane_height = 130;
constexpr double lane_top = 60;
constexpr double label_step = 13;
constexpr int label_rows = 8;

constexpr int axis_intervals = 8;

std::string escaped(const std::string& text)
{
    std::string out;
    for (const char c : printable(text))
    {
        switch (c)
        {
        case '<':
            out += "&lt;";
            break;
        case '>':
            out += "&gt;";
            break;
        case '&':
            out += "&amp;";
            break;
        case '"':
            out += "&quot;";
            break;
        default:
            out += c;
        }
    }
    return out;
}

double ms_of(const proto::Event& event)
{
    return static_cast<double>(event.hybrid_time() >>
                               hybrid_clock::logical_bits);
}

class svg_renderer
{
public:
    explicit svg_renderer(const std::vector<proto::Event>& events)
        : events_(events)
    {
        for (const auto& event : events)
        {
            lanes_.emplace(event.vm(), 0);
        }
        int next = 0;
        for (auto& [vm, lane] : lanes_)
        {
            lane = next++;
        }
        if (!events.empty())
        {
            first_ms_ = ms_of(events.front());
            span_ = std::max(1.0, ms_of(events.back()) - first_ms_);
        }
    }

    std::string draw()
    {
        const double height =
            lane_top + lane_height * static_cast<double>(lanes_.size()) + 30;
        out_ << R"(<svg xmlns="http://www.w3.org/2000/svg" width=")"
             << plot_width + 2 * margin + 150 << R"(" height=")" << height
             << "\" font-family=\"sans-serif\" font-size=\"11\">\n"
             << R"(<rect width="100%" height="100%" fill="white"/>)" << '\n';
        draw_axis(height);
        for (const auto& [vm, lane] : lanes_)
        {
            draw_lane(vm, lane);
        }
        for (const auto& event : events_)
        {
            is_request_step(event) ? draw_step(event) : draw_change(event);
        }
        out_ << "</svg>\n";
        return out_.str();
    }

private:
    double x_of(const proto::Event& event) const
    {
        return margin + (ms_of(event) - first_ms_) / span_ * plot_width;
    }

    double y_of(const std::string& vm) const
    {
        return lane_top + lane_height * lanes_.at(vm);
    }

    void draw_axis(double height)
    {
        for (int i = 0; i <= axis_intervals; ++i)
        {
            const double fraction = static_cast<double>(i) / axis_intervals;
            const double x = margin + fraction * plot_width;
            out_ << "<line x1=\"" << x << "\" y1=\"30\" x2=\"" << x
                 << "\" y2=\"" << height << "\" stroke=\"#dddddd\"/><text x=\""
                 << x << "\" y=\"24\" text-anchor=\"middle\">+"
                 << static_cast<std::int64_t>(fraction * span_)
                 << " ms</text>\n";
        }
        if (!events_.empty())
        {
            out_ << "<text x=\"4\" y=\"12\">from "
                 << to_text(microseconds(events_.front().wall_us()))
                 << "</text>\n";
        }
    }

    void draw_lane(const std::string& vm, int lane)
    {
        const double y = lane_top + lane_height * lane;
        out_ << "<text x=\"4\" y=\"" << y + 4 << "\" font-weight=\"bold\">"
             << escaped(vm) << "</text><line x1=\"" << margin << "\" y1=\"" << y
             << "\" x2=\"" << margin + plot_width << "\" y2=\"" << y
             << "\" stroke=\"black\"/>\n";
    }

    void draw_step(const proto::Event& event)
    {
        const char* colour = event.code() != 0            ? "#cc0000"
                             : event.kind() == "answered" ? "#118822"
                                                          : "#99bbdd";
        out_ << "<circle cx=\"" << x_of(event) << "\" cy=\"" << y_of(event.vm())
             << "\" r=\"3\" fill=\"" << colour << "\"><title>"
             << escaped(to_text(event)) << "</title></circle>\n";
    }

    /// Places the labels of a lane in rotating rows, so that the labels of
    /// neighbouring events don't overlap.
    void draw_change(const proto::Event& event)
    {
        const double x = x_of(event);
        const double y = y_of(event.vm());
        const int row = next_row_[event.vm()]++ % label_rows;
        const double label_y = y + label_step * (row + 1.5);
        out_ << "<line x1=\"" << x << "\" y1=\"" << y - 8 << "\" x2=\"" << x
             << "\" y2=\"" << label_y << "\" stroke=\"#aa5500\"/><text x=\""
             << x + 3 << "\" y=\"" << label_y << "\" fill=\"#aa5500\">"
             << escaped(event.kind() + " " + event.database() + " " +
                        event.server() + " " + event.detail())
             << "<title>" << escaped(to_text(event)) << "</title></text>\n";
    }

    const std::vector<proto::Event>& events_;
    std::map<std::string, int> lanes_;
    std::map<std::string, int> next_row_;
    double first_ms_ = 0; ///< milliseconds
    double span_ = 1;     ///< milliseconds
    std::ostringstream out_;
};

} // namespace

std::string to_svg(const std::vector<proto::Event>& events)
{
    return svg_renderer(events).draw();
}

} // namespace tanagerhoist
