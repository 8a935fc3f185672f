#include "tanagerhoist/decision/node.hpp"

#include <array>
#include <utility>

namespace tanagerhoist
{

node::node(node_options options)
    : options_(std::move(options)),
      self_{options_.vm, options_.data_centre, 0},
      membership_(self_, options_.membership),
      follower_(self_, options_.settings),
      fence_(options_.fence),
      limiter_(self_, membership_, options_.limiter),
      primaries_(
          self_, [this](moment now) { return serving_vms(now); },
          options_.primaries),
      replicas_(options_.replicas),
      confirmer_(options_.confirmer),
      pool_(options_.pool),
      transactions_(self_, options_.transactions),
      registry_(options_.registry),
      retries_(options_.retries),
      flow_(options_.flow, {fence_, limiter_, primaries_, replicas_, confirmer_,
                            pool_, transactions_, registry_, retries_, out_})
{
}

node::handler node::handler_of(proto::Input::BodyCase body)
{
    switch (body)
    {
    case proto::Input::kCallerArrived:
        return &node::on_caller_arrived;
    case proto::Input::kCallerGone:
        return &node::on_caller_gone;
    case proto::Input::kDatabaseAnswered:
        return &node::on_database_answered;
    case proto::Input::kDatabaseFailed:
        return &node::on_database_failed;
    case proto::Input::kConnectionOpened:
        return &node::on_connection_opened;
    case proto::Input::kConnectionClosed:
        return &node::on_connection_closed;
    case proto::Input::kPlatformAnswered:
        return &node::on_platform_answered;
    case proto::Input::kPlatformFailed:
        return &node::on_platform_failed;
    case proto::Input::kPeer:
        return &node::on_peer;
    case proto::Input::kTick:
        return &node::on_tick;
    case proto::Input::kDrain:
        return &node::on_drain;
    case proto::Input::BODY_NOT_SET:
        break;
    }
    return nullptr;
}

std::vector<proto::Action> node::apply(const proto::Input& input)
{
    const moment now = moment_from(input.now_us());
    wall_us_ = input.wall_us();
    clock_.observe_wall(wall_us_);
    const handler handle = handler_of(input.body_case());
    if (handle != nullptr)
    {
        (this->*handle)(now, input);
    }
    adopt_settings(now);
    share_connections(now, pool_.take_starved_servers());
    for (auto& event : out_.take_events())
    {
        event.set_hybrid_time(clock_.tick());
        event.set_wall_us(wall_us_);
        event.set_vm(self_.vm);
        event.set_incarnation(self_.number);
        event.set_sequence(++event_sequence_);
        event.set_settings_version(follower_.version());
        events_.push_back(std::move(event));
    }
    auto actions = out_.take_actions();
    for (auto& action : actions)
    {
        stamp(action);
    }
    return actions;
}

void node::stamp(proto::Action& action)
{
    if (!action.has_send_peer())
    {
        return;
    }
    auto& message = *action.mutable_send_peer();
    message.mutable_from()->set_vm(self_.vm);
    message.mutable_from()->set_number(self_.number);
    message.set_hybrid_time(clock_.tick());
}

std::vector<proto::Event> node::take_events()
{
    return std::exchange(events_, {});
}

void node::on_caller_arrived(moment now, const proto::Input& input)
{
    flow_.arrive(now, input.caller_arrived());
}

void node::on_caller_gone(moment now, const proto::Input& input)
{
    flow_.caller_gone(now, input.caller_gone().caller());
}

void node::on_database_answered(moment now, const proto::Input& input)
{
    const auto& answered = input.database_answered();
    if (auto handle = out_.take_database(answered.tag()))
    {
        handle(now, &answered.reply(), true);
        flow_.pump(now);
    }
}

void node::on_database_failed(moment now, const proto::Input& input)
{
    const auto& failed = input.database_failed();
    if (auto handle = out_.take_database(failed.tag()))
    {
        handle(now, nullptr, failed.sent());
        flow_.pump(now);
    }
}

void node::on_connection_opened(moment now, const proto::Input& input)
{
    pool_.on_opened(now, input.connection_opened().connection());
    flow_.pump(now);
}

void node::on_connection_closed(moment now, const proto::Input& input)
{
    const auto connection = input.connection_closed().connection();
    transactions_.connection_lost(connection);
    pool_.on_closed(now, connection, out_);
    flow_.pump(now);
}

void node::on_platform_answered(moment now, const proto::Input& input)
{
    const auto& answered = input.platform_answered();
    if (auto handle = out_.take_platform(answered.tag()))
    {
        handle(now, &answered.reply());
        flow_.pump(now);
    }
}

void node::on_platform_failed(moment now, const proto::Input& input)
{
    if (auto handle = out_.take_platform(input.platform_failed().tag()))
    {
        handle(now, nullptr);
    }
}

void node::on_peer(moment now, const proto::Input& input)
{
    const auto& message = input.peer();
    clock_.observe(message.hybrid_time());
    const bool for_earlier_incarnation =
        message.to_number() != 0 && message.to_number() != self_.number;
    if (message.to() != self_.vm || for_earlier_incarnation)
    {
        return;
    }
    const auto& from = message.from();
    switch (message.body_case())
    {
    case proto::PeerMessage::kHeartbeat:
        membership_.on_heartbeat(now, from, message.heartbeat());
        limiter_.on_hints(from, message.heartbeat());
        follower_.on_peer_version(now, from,
                                  message.heartbeat().settings_version(), out_);
        for (const auto& belief : message.heartbeat().primary())
        {
            primaries_.update_belief(now, belief);
        }
        break;
    case proto::PeerMessage::kSliceAsk:
        limiter_.on_slice_ask(now, from, message.slice_ask(), out_);
        share_connections(now, pool_.active());
        break;
    case proto::PeerMessage::kSliceGive:
        limiter_.on_slice_give(now, from, message.slice_give(), out_);
        break;
    case proto::PeerMessage::kSuspectAsk:
        primaries_.on_suspect_ask(now, from, message.suspect_ask(), out_);
        break;
    case proto::PeerMessage::kSuspectAnswer:
        primaries_.on_suspect_answer(now, from, message.suspect_answer(), out_);
        break;
    case proto::PeerMessage::kSettingsPush:
        follower_.on_peer_push(now, message.settings_push().settings(), out_);
        break;
    case proto::PeerMessage::kSettingsAsk:
        follower_.on_peer_ask(now, from, message.settings_ask(), out_);
        break;
    case proto::PeerMessage::BODY_NOT_SET:
        break;
    }
    flow_.pump(now);
}

proto::Heartbeat node::make_heartbeat()
{
    proto::Heartbeat heartbeat;
    heartbeat.set_data_centre(self_.data_centre);
    heartbeat.set_settings_version(follower_.version());
    heartbeat.set_leaving(draining_);
    primaries_.take_unsent_beliefs(heartbeat);
    limiter_.hints(heartbeat);
    return heartbeat;
}

void node::on_tick(moment now, const proto::Input& /*input*/)
{
    if (limiter_.expelled())
    {
        incarnations_.renew(); // the old incarnation's slices were reassigned
    }
    incarnations_.on_tick(now, out_);
    if (self_.number != incarnations_.number())
    {
        self_.number = incarnations_.number();
        note("enrolled", "number_allotted", std::to_string(self_.number));
    }
    // make_heartbeat consumes the unsent beliefs, so it is called only when a
    // heartbeat is sent; otherwise they would be lost.
    const bool due = membership_.heartbeat_due(now);
    membership_.on_tick(now, due ? make_heartbeat() : proto::Heartbeat(), out_);
    follower_.on_tick(now, membership_.polls_platform(now), out_,
                      microseconds(wall_us_));
    fence_.on_tick(now, follower_.last_platform_contact(),
                   membership_.majority_heard(now));
    if (may_serve_ != fence_.may_serve(now))
    {
        may_serve_ = !may_serve_;
        note(may_serve_ ? "serving" : "isolated", "fence", "");
    }
    limiter_.on_tick(now, out_);
    primaries_.on_tick(now, out_);
    confirmer_.on_tick(now, out_);
    registry_.on_tick(now);
    share_connections(now, pool_.active());
    pool_.on_tick(now, out_);
    flow_.on_tick(now);
    continue_draining(now);
}

void node::on_drain(moment now, const proto::Input& /*input*/)
{
    draining_ = true;
    note("draining", "asked", "");
    flow_.drain();
    continue_draining(now);
}

/// Drains in order: refuses new work, finishes open requests, then hands over
/// the slices.
void node::continue_draining(moment now)
{
    if (!draining_ || drain_reported_ || !flow_.idle())
    {
        return;
    }
    if (!leaving_)
    {
        leaving_ = true;
        membership_.start_leaving();
        limiter_.start_leaving(now, out_);
    }
    if (limiter_.handed_over())
    {
        drain_reported_ = true;
        proto::Action action;
        action.mutable_drain_finished();
        out_.add(std::move(action));
    }
}

/// Reports this VM's demand for connections to the limiter and applies the
/// resulting limits to the pool.
void node::share_connections(moment now, const std::set<std::string>& servers)
{
    for (const auto& name : servers)
    {
        if (leaving_) // closes idle connections as well
        {
            pool_.limit(name, 0, out_);
        }
        const auto wanted = leaving_ ? 0 : pool_.wanted(name);
        limiter_.want_connections(now, name, wanted, pool_.busy(name), out_);
        pool_.limit(name, leaving_ ? 0 : limiter_.connections(name), out_);
    }
}

void node::adopt_settings(moment now)
{
    const auto* current = follower_.current();
    const bool newer =
        current != nullptr && (!view_ || current->version() > view_->version());
    if (!newer)
    {
        return;
    }
    auto next = std::make_unique<const settings_view>(*current);
    limiter_.use_settings(now, *next, out_);
    primaries_.use_settings(now, next->all());
    pool_.use_settings(next->all(), out_);
    flow_.use_settings(now, *next);
    view_ = std::move(next); // no module refers to the old view any more
    note("settings_adopted", "version_rises",
         std::to_string(current->version()));
}

void node::note(const char* kind, const char* rule, std::string detail)
{
    proto::Event event;
    event.set_kind(kind);
    event.set_rule(rule);
    event.set_detail(std::move(detail));
    out_.note(std::move(event));
}

std::vector<std::string> node::serving_vms(moment now) const
{
    std::vector<std::string> names;
    for (const auto& vm : membership_.serving(now))
    {
        names.push_back(vm.vm);
    }
    return names;
}

node_metrics node::current_metrics(moment now) const
{
    node_metrics result;
    result.incarnation = self_.number;
    result.settings_version = follower_.version();
    result.requests_in_flight = flow_.in_flight();
    result.serving_vms = membership_.serving(now).size();
    result.may_serve = fence_.may_serve(now);
    result.draining = draining_;
    return result;
}

} // namespace tanagerhoist
