#include "tanagerhoist/decision/primary_watch.hpp"

#include <utility>

namespace tanagerhoist
{

primary_watch::primary_watch(const identity& self, vm_source serving,
                             primary_watch_options options)
    : self_(self), serving_(std::move(serving)), options_(options)
{
}

void primary_watch::use_settings(moment, const proto::Settings& settings)
{
    std::map<std::string, group> groups;
    for (const auto& server : settings.server())
    {
        groups[server.database()].servers.push_back(server.name());
    }
    groups_ = std::move(groups);
}

void primary_watch::on_tick(moment now, outbox& out)
{
    for (auto& [database, watched] : groups_)
    {
        if (now >= watched.next_probe)
        {
            watched.next_probe = now + options_.probe_interval;
            probe(now, database, watched, out);
        }
    }
}

void primary_watch::probe(moment, const std::string& database, group& watched,
                          outbox& out)
{
    for (const auto& server : watched.servers)
    {
        proto::DatabaseCall call;
        call.mutable_status();
        out.call_database(
            server, 0, std::move(call), options_.probe_timeout,
            [this, database, server](moment at,
                                     const proto::DatabaseReply* reply, bool)
            {
                if (reply == nullptr || !reply->status().primary())
                {
                    return;
                }
                proto::PrimaryBelief belief;
                belief.set_database(database);
                belief.set_server(server);
                belief.set_term(reply->status().last().term());
                learned(at, belief);
            });
    }
}

void primary_watch::on_suspect_ask(moment, const proto::Incarnation&,
                                   const proto::SuspectAsk&, outbox&)
{
}

void primary_watch::on_suspect_answer(moment, const proto::Incarnation&,
                                      const proto::SuspectAnswer&, outbox&)
{
}

void primary_watch::learned(moment, const proto::PrimaryBelief& belief)
{
    auto& known = beliefs_[belief.database()];
    if (belief.term() > known.term())
    {
        known = belief;
        news_.insert(belief.database());
    }
}

void primary_watch::report_failure(moment, const std::string&,
                                   const std::string&)
{
}

const proto::PrimaryBelief*
primary_watch::primary(const std::string& database) const
{
    const auto found = beliefs_.find(database);
    return found == beliefs_.end() ? nullptr : &found->second;
}

void primary_watch::take_news(proto::Heartbeat& heartbeat)
{
    for (const auto& database : news_)
    {
        *heartbeat.add_primary() = beliefs_.at(database);
    }
    news_.clear();
}

} // namespace tanagerhoist
