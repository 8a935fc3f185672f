#include "tanagerhoist/decision/primary_watch.hpp"

#include <algorithm>
#include <utility>

namespace tanagerhoist
{

namespace
{

/// Oldest query whose answer is used, by the clock of the VM that asked.
constexpr milliseconds max_answer_age{500};

} // namespace

primary_watch::primary_watch(const identity& self, vm_source serving,
                             primary_watch_options options)
    : self_(self),
      serving_(std::move(serving)),
      options_(options),
      terms_(self),
      rows_(options.row)
{
}

void primary_watch::use_settings(moment, const proto::Settings& settings)
{
    std::map<std::string, std::vector<std::string>> groups;
    for (const auto& server : settings.server())
    {
        groups[server.database()].push_back(server.name());
    }
    for (auto& [database, state] : databases_)
    {
        state.servers.clear();
    }
    for (auto& [database, servers] : groups)
    {
        std::sort(servers.begin(), servers.end());
        databases_[database].servers = std::move(servers);
    }
    reassign_ = true;
}

void primary_watch::on_tick(moment now, outbox& out)
{
    refresh_watchers(now, out);
    for (const auto& database : watched_)
    {
        databases_.at(database).watch->on_tick(now, out);
    }
    ask_watchers(now, out);
    rows_.on_tick(now, out);
}

void primary_watch::refresh_watchers(moment now, outbox& out)
{
    if (now >= next_list_)
    {
        next_list_ = now + options_.list_interval;
        auto vms = serving_(now);
        if (vms != vms_)
        {
            vms_ = std::move(vms);
            owners_ = rendezvous(vms_);
            reassign_ = true;
        }
    }
    if (!reassign_)
    {
        return;
    }
    reassign_ = false;
    watched_.clear();
    for (auto& [database, state] : databases_)
    {
        assign(now, database, state, out);
    }
}

void primary_watch::assign(moment now, const std::string& database,
                           database_state& state, outbox& out)
{
    if (state.watch && state.watch->servers() != state.servers)
    {
        stop_watch(state, out);
    }
    auto vms = watchers(database);
    const auto own = std::find(vms.begin(), vms.end(), self_.vm);
    const auto rank = static_cast<unsigned>(own - vms.begin());
    const bool is_watcher = own != vms.end() && !state.servers.empty();
    // A running promotion may have sealed servers already: let it finish.
    const bool busy = state.watch && state.watch->promoting();
    if (!is_watcher && !busy)
    {
        stop_watch(state, out);
        if (state.servers.empty())
        {
            unresolved_.erase(database);
        }
        else if (!state.belief)
        {
            unresolved_.insert(database);
        }
        return;
    }
    if (!state.watch)
    {
        state.watch = make_watch(now, database, state);
    }
    state.watch->set_watchers(std::move(vms), rank);
    watched_.insert(database);
    unresolved_.erase(database);
    reassign_ |= !is_watcher;
}

std::unique_ptr<group_watch>
primary_watch::make_watch(moment now, const std::string& database,
                          const database_state& state)
{
    group_watch::callbacks calls;
    calls.found = [this](moment at, const proto::PrimaryBelief& belief)
    { update_belief(at, belief); };
    calls.won = [this](moment at, const proto::PrimaryBelief& belief,
                       outbox& out) { on_won(at, belief, out); };
    calls.ask = [this, database](moment at, const std::string& vm, outbox& out)
    { ask(at, database, vm, out); };
    auto watch = std::make_unique<group_watch>(
        now, database, state.servers, terms_, options_.group, std::move(calls));
    if (state.belief)
    {
        watch->set_belief(now, *state.belief);
    }
    return watch;
}

void primary_watch::stop_watch(database_state& state, outbox& out)
{
    if (state.watch)
    {
        state.watch->close(out);
        state.watch.reset();
    }
}

std::vector<std::string>
primary_watch::watchers(const std::string& database) const
{
    return owners_.top(database, options_.watchers);
}

void primary_watch::ask_watchers(moment now, outbox& out)
{
    for (const auto& database : unresolved_)
    {
        auto& state = databases_.at(database);
        if (now < state.next_ask)
        {
            continue;
        }
        state.next_ask = now + options_.ask_interval;
        const auto vms = watchers(database);
        if (!vms.empty())
        {
            ask(now, database, vms[state.asked++ % vms.size()], out);
        }
    }
}

void primary_watch::ask(moment now, const std::string& database,
                        const std::string& vm, outbox& out)
{
    proto::PeerMessage message;
    auto& question = *message.mutable_suspect_ask();
    question.set_database(database);
    question.set_asked_us(to_us(now));
    if (const auto* belief = primary(database))
    {
        question.set_server(belief->server());
        question.set_term(belief->term());
    }
    out.send_peer(vm, 0, std::move(message));
}

void primary_watch::on_suspect_ask(moment now, const proto::Incarnation& from,
                                   const proto::SuspectAsk& ask, outbox& out)
{
    const auto found = databases_.find(ask.database());
    if (found == databases_.end())
    {
        return;
    }
    proto::PrimaryBelief claim;
    claim.set_database(ask.database());
    claim.set_server(ask.server());
    claim.set_term(ask.term());
    update_belief(now, claim);

    proto::PeerMessage message;
    auto& answer = *message.mutable_suspect_answer();
    answer.set_database(ask.database());
    answer.set_asked_us(ask.asked_us());
    if (const auto* belief = primary(ask.database()))
    {
        answer.set_server(belief->server());
        answer.set_term(belief->term());
    }
    if (found->second.watch)
    {
        found->second.watch->fill_answer(now, answer);
        found->second.watch->probe_all_now(now);
    }
    out.send_peer(from.vm(), 0, std::move(message));
}

void primary_watch::on_suspect_answer(moment now,
                                      const proto::Incarnation& from,
                                      const proto::SuspectAnswer& answer,
                                      outbox& out)
{
    const auto found = databases_.find(answer.database());
    if (found == databases_.end())
    {
        return;
    }
    proto::PrimaryBelief claim;
    claim.set_database(answer.database());
    claim.set_server(answer.server());
    claim.set_term(answer.term());
    update_belief(now, claim);
    auto& state = found->second;
    const moment asked = moment_from(answer.asked_us());
    const bool current =
        answer.asked_us() != 0 && asked <= now && now - asked <= max_answer_age;
    const bool same = state.belief && state.belief->term() == answer.term();
    if (!answer.known() || !current || !same)
    {
        return;
    }
    if (state.watch)
    {
        state.watch->on_answer(now, from.vm(), answer.reachable(), out);
    }
    else if (answer.reachable())
    {
        unresolved_.erase(answer.database());
    }
}

void primary_watch::update_belief(moment now,
                                  const proto::PrimaryBelief& belief)
{
    const auto found = databases_.find(belief.database());
    if (found == databases_.end() || belief.server().empty() ||
        belief.term() == 0)
    {
        return;
    }
    auto& state = found->second;
    if (state.belief && state.belief->term() >= belief.term())
    {
        return;
    }
    state.belief = belief;
    ++changes_;
    unresolved_.erase(belief.database());
    unsent_beliefs_.insert(belief.database());
    if (state.watch)
    {
        state.watch->set_belief(now, belief);
    }
}

void primary_watch::on_won(moment now, const proto::PrimaryBelief& belief,
                           outbox& out)
{
    update_belief(now, belief);
    rows_.write(now, belief, out);
    proto::Event event;
    event.set_kind("primary_promoted");
    event.set_database(belief.database());
    event.set_server(belief.server());
    event.set_detail(std::to_string(belief.term()));
    out.note(std::move(event));
    for (const auto& vm : vms_)
    {
        if (vm == self_.vm)
        {
            continue;
        }
        proto::PeerMessage message;
        auto& announcement = *message.mutable_suspect_answer();
        announcement.set_database(belief.database());
        announcement.set_server(belief.server());
        announcement.set_term(belief.term());
        out.send_peer(vm, 0, std::move(message));
    }
}

void primary_watch::report_failure(moment now, const std::string& database,
                                   const std::string& server)
{
    const auto found = databases_.find(database);
    if (found == databases_.end())
    {
        return;
    }
    auto& state = found->second;
    if (state.watch)
    {
        state.watch->probe_all_now(now);
    }
    else if (state.belief && state.belief->server() == server)
    {
        unresolved_.insert(database);
    }
}

const proto::PrimaryBelief*
primary_watch::primary(const std::string& database) const
{
    const auto found = databases_.find(database);
    return found == databases_.end() || !found->second.belief
               ? nullptr
               : &*found->second.belief;
}

void primary_watch::take_unsent_beliefs(proto::Heartbeat& heartbeat)
{
    for (const auto& database : unsent_beliefs_)
    {
        *heartbeat.add_primary() = *databases_.at(database).belief;
    }
    unsent_beliefs_.clear();
}

} // namespace tanagerhoist
