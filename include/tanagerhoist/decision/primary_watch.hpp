#ifndef TANAGERHOIST_DECISION_PRIMARY_WATCH_HPP
#define TANAGERHOIST_DECISION_PRIMARY_WATCH_HPP

#include "settings.pb.h"
#include "tanagerhoist/core/identity.hpp"
#include "tanagerhoist/core/time.hpp"
#include "tanagerhoist/decision/outbox.hpp"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace tanagerhoist
{

/// Gives the VMs that serve now, sorted by name, this one included unless it
/// is leaving.
using vm_source = std::function<std::vector<std::string>(moment)>;

struct primary_watch_options
{
    milliseconds probe_interval{150};
    milliseconds probe_timeout{300};
};

/// Knows the primary of every database and replaces one that is lost.
class primary_watch
{
public:
    /// @param self is read at each promotion: its number may come later
    primary_watch(const identity& self, vm_source serving,
                  primary_watch_options options = {});

    void use_settings(moment now, const proto::Settings& settings);
    void on_tick(moment now, outbox& out);
    void on_suspect_ask(moment now, const proto::Incarnation& from,
                        const proto::SuspectAsk& ask, outbox& out);
    void on_suspect_answer(moment now, const proto::Incarnation& from,
                           const proto::SuspectAnswer& answer, outbox& out);
    /// Takes a belief from a peer; the highest term wins.
    void learned(moment now, const proto::PrimaryBelief& belief);
    /// Notes that a call on behalf of a request failed at `server`.
    void report_failure(moment now, const std::string& database,
                        const std::string& server);
    /// Primary of `database`; null while it is unknown.
    const proto::PrimaryBelief* primary(const std::string& database) const;
    /// Adds the beliefs learnt since the last call.
    void take_news(proto::Heartbeat& heartbeat);

private:
    struct group
    {
        std::vector<std::string> servers;
        moment next_probe;
    };

    void probe(moment now, const std::string& database, group& watched,
               outbox& out);

    const identity& self_;
    vm_source serving_;
    primary_watch_options options_;
    std::map<std::string, group> groups_;
    std::map<std::string, proto::PrimaryBelief> beliefs_;
    std::set<std::string> news_;
};

} // namespace tanagerhoist

#endif
