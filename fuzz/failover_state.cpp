// State test of failover: several VMs monitor one database group while servers,
// VMs and messages fail at random. The result is checked against plain maps.
#include "standin/failover_simulation.hpp"
#include "tanagerhoist/decision/term.hpp"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <array>
#include <cstdlib>
#include <iostream>
#include <map>
#include <memory>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace
{

using namespace tanagerhoist;
using standin::failover_simulation;
using standin::write_result;

const char* const fixed_parameters = "seed=7 max_success=400";
const std::string database = "ledger";
const std::vector<std::string> servers{"server-a", "server-b", "server-c"};
const std::vector<std::string> vms{"vm-1", "vm-2", "vm-3", "vm-4"};
constexpr milliseconds write_deadline{1500};
constexpr milliseconds recovery_time{6000};
constexpr milliseconds final_write_deadline{1000};

std::uint64_t commands_run = 0;
std::uint64_t writes_confirmed = 0;
std::uint64_t terms_begun = 0;

/// Records the events of a run and the first violated invariant.
struct oracle
{
    std::set<std::string> confirmed;              ///< request ids
    std::map<std::uint64_t, std::string> leaders; ///< server by term
    /// Incarnation of the sealing VM, by term.
    std::map<std::uint64_t, std::uint64_t> sealing_incarnations;
    std::string violation;

    void expect(bool condition, const std::string& what)
    {
        if (!condition && violation.empty())
        {
            violation = what;
        }
    }
};

/// The simulation with its message faults and its oracle.
class system_under_test
{
public:
    explicit system_under_test(std::uint64_t seed)
        : random_(seed | 1),
          simulation_(vms, {{database, servers}},
                      [this](const auto& from, const auto& to)
                      { return delay(from, to); })
    {
        simulation_.observe_calls(
            [this](const identity& self, const proto::CallDatabase& call)
            { on_call(self, call); });
        simulation_.group(database).set_lag(milliseconds(2));
        simulation_.run_for(milliseconds(700));
    }

    failover_simulation& simulation() { return simulation_; }
    void set_lossy(bool lossy) { lossy_ = lossy; }
    const std::string& violation() const { return oracle_.violation; }
    std::uint64_t write_count() const { return write_count_; }

    void write(const std::string& vm, std::uint64_t repeat)
    {
        const bool again = repeat % 3 == 0 && write_count_ > 0;
        const std::uint64_t number =
            again ? repeat % write_count_ : write_count_++;
        const std::string id = "w" + std::to_string(number);
        simulation_.write(vm, database, id, "APPEND log " + id, write_deadline,
                          [this, id](moment, write_result result,
                                     const proto::LogPoint& point)
                          {
                              if (result == write_result::confirmed)
                              {
                                  on_confirmed(id, point);
                              }
                          });
    }

    void run(milliseconds duration)
    {
        simulation_.run_for(duration);
        check_leaders();
    }

    /// Ends all faults and compares the final log with the oracle.
    void finish()
    {
        recover();
        check_leaders();
        const auto* belief =
            simulation_.vm(vms.front()).watch->primary(database);
        oracle_.expect(belief != nullptr, "no primary after recovery");
        if (belief == nullptr)
        {
            return;
        }
        const auto& log =
            simulation_.group(database).server(belief->server()).log();
        std::map<std::string, int> count;
        for (std::uint64_t position = 1; position <= log.size(); ++position)
        {
            ++count[log.at(position).request_id()];
        }
        for (std::uint64_t i = 0; i < write_count_; ++i)
        {
            const std::string id = "w" + std::to_string(i);
            const bool was_confirmed = oracle_.confirmed.count(id) != 0;
            oracle_.expect(count[id] <= 1,
                           id + " is in the log more than once");
            oracle_.expect(!was_confirmed || count[id] == 1,
                           id + " was confirmed, but is not in the log");
        }
    }

private:
    std::uint64_t random()
    {
        random_ ^= random_ << 13;
        random_ ^= random_ >> 7;
        random_ ^= random_ << 17;
        return random_;
    }

    std::optional<microseconds> delay(const std::string&, const std::string&)
    {
        const auto draw = random() % 100;
        if (lossy_ && draw < 10)
        {
            return std::nullopt;
        }
        if (lossy_ && draw < 20)
        {
            return microseconds(random() % 700000);
        }
        return microseconds(200 + random() % 3000);
    }

    void on_call(const identity& self, const proto::CallDatabase& call)
    {
        if (call.call().has_seal())
        {
            const auto term = call.call().seal().term();
            const auto entry =
                oracle_.sealing_incarnations.emplace(term, self.number).first;
            oracle_.expect(entry->second == self.number,
                           "two VMs sealed servers in the same term");
        }
    }

    void on_confirmed(const std::string& id, const proto::LogPoint& point)
    {
        writes_confirmed += oracle_.confirmed.insert(id).second;
        std::size_t replicas = 0;
        for (const auto& server : servers)
        {
            replicas += simulation_.group(database).server(server).holds(point);
        }
        oracle_.expect(replicas >= 2, id + " was confirmed without a majority");
    }

    void check_leaders()
    {
        for (const auto& name : servers)
        {
            const auto& server = simulation_.group(database).server(name);
            if (server.primary())
            {
                const auto term = server.sealed_term();
                const auto [entry, inserted] =
                    oracle_.leaders.emplace(term, name);
                terms_begun += inserted;
                oracle_.expect(entry->second == name,
                               "two servers were primary in the same term");
            }
        }
    }

    void recover()
    {
        lossy_ = false;
        simulation_.heal();
        simulation_.service().set_down(false);
        for (const auto& server : servers)
        {
            simulation_.group(database).set_frozen(server, false);
            if (!simulation_.group(database).responds(server))
            {
                simulation_.restart_server(server);
            }
        }
        for (const auto& vm : vms)
        {
            if (!simulation_.vm(vm).alive)
            {
                simulation_.restart_vm(vm);
            }
            simulation_.set_vm_frozen(vm, false);
        }
        simulation_.run_for(recovery_time);
        bool served = false;
        simulation_.write(
            vms.front(), database, "last", "APPEND log last",
            final_write_deadline,
            [&served](moment, write_result result, const proto::LogPoint&)
            { served = result == write_result::confirmed; });
        simulation_.run_for(2 * final_write_deadline);
        oracle_.expect(served, "no write was confirmed after recovery");
    }

    std::uint64_t random_;
    bool lossy_ = false;
    std::uint64_t write_count_ = 0;
    oracle oracle_;
    failover_simulation simulation_;
};

/// RapidCheck requires a model; all state is in the system under test.
struct model
{
};

/// A fault or a request. `run` interprets its operands.
struct step
{
    const char* name;
    void (*run)(system_under_test&, std::uint64_t a, std::uint64_t b);
};

const std::string& pick(const std::vector<std::string>& names, std::uint64_t n)
{
    return names[n % names.size()];
}

const std::string& endpoint(std::uint64_t n)
{
    return n % 2 == 0 ? pick(servers, n / 2) : pick(vms, n / 2);
}

void burst(system_under_test& sut, std::uint64_t a, std::uint64_t b)
{
    for (std::uint64_t i = 0; i < 5; ++i)
    {
        sut.write(pick(vms, a + i), b + i);
        sut.run(milliseconds(1 + b % 5));
    }
}

void unfreeze_and_restart(system_under_test& sut, std::uint64_t a,
                          std::uint64_t)
{
    const auto& server = pick(servers, a);
    sut.simulation().group(database).set_frozen(server, false);
    sut.simulation().restart_server(server);
}

const std::array<step, 17> steps{{
    {"write", [](system_under_test& sut, std::uint64_t a, std::uint64_t b)
     { sut.write(pick(vms, a), b); }},
    {"burst", burst},
    {"burst", burst},
    {"run", [](system_under_test& sut, std::uint64_t a, std::uint64_t)
     { sut.run(milliseconds(1 + a % 60)); }},
    {"run", [](system_under_test& sut, std::uint64_t a, std::uint64_t)
     { sut.run(milliseconds(1 + a % 900)); }},
    {"run", [](system_under_test& sut, std::uint64_t a, std::uint64_t)
     { sut.run(milliseconds(600 + a % 900)); }},
    {"cut", [](system_under_test& sut, std::uint64_t a, std::uint64_t b)
     { sut.simulation().cut(endpoint(a), endpoint(b)); }},
    {"cut servers", [](system_under_test& sut, std::uint64_t a, std::uint64_t b)
     { sut.simulation().cut(pick(servers, a), pick(servers, b)); }},
    {"isolate", [](system_under_test& sut, std::uint64_t a, std::uint64_t)
     { sut.simulation().isolate(pick(servers, a)); }},
    {"heal", [](system_under_test& sut, std::uint64_t, std::uint64_t)
     { sut.simulation().heal(); }},
    {"kill server", [](system_under_test& sut, std::uint64_t a, std::uint64_t)
     { sut.simulation().kill_server(pick(servers, a)); }},
    {"revive server", unfreeze_and_restart},
    {"freeze server", [](system_under_test& sut, std::uint64_t a, std::uint64_t)
     { sut.simulation().group(database).set_frozen(pick(servers, a), true); }},
    {"freeze vm", [](system_under_test& sut, std::uint64_t a, std::uint64_t)
     { sut.simulation().set_vm_frozen(pick(vms, a), true); }},
    {"thaw vm", [](system_under_test& sut, std::uint64_t a, std::uint64_t)
     { sut.simulation().set_vm_frozen(pick(vms, a), false); }},
    {"replace vm", [](system_under_test& sut, std::uint64_t a, std::uint64_t)
     { sut.simulation().restart_vm(pick(vms, a)); }},
    {"lossy", [](system_under_test& sut, std::uint64_t a, std::uint64_t)
     { sut.set_lossy(a % 3 != 0); }},
}};

class command : public rc::state::Command<model, system_under_test>
{
public:
    command()
        : kind_(*rc::gen::inRange<std::size_t>(0, steps.size())),
          a_(*rc::gen::inRange<std::uint64_t>(0, 10000)),
          b_(*rc::gen::inRange<std::uint64_t>(0, 10000))
    {
    }

    void run(const model&, system_under_test& sut) const override
    {
        ++commands_run;
        steps[kind_].run(sut, a_, b_);
        if (!sut.violation().empty())
        {
            RC_FAIL(sut.violation());
        }
    }

    void show(std::ostream& os) const override
    {
        os << steps[kind_].name << ' ' << a_ << ' ' << b_;
    }

private:
    std::size_t kind_;
    std::uint64_t a_;
    std::uint64_t b_;
};

void run_sequence()
{
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    system_under_test sut(seed);
    rc::state::check(model{}, sut,
                     rc::state::gen::execOneOfWithArgs<command>());
    sut.finish();
    if (!sut.violation().empty())
    {
        RC_FAIL(sut.violation());
    }
}

std::uint64_t sequences = 0;
bool passed = false;

void print_counts()
{
    std::cout << sequences << " sequences, " << commands_run << " commands, "
              << writes_confirmed << " writes confirmed, " << terms_begun
              << " terms\n"
              << (passed ? "1 passed, 0 failed" : "0 passed, 1 failed")
              << std::endl;
}

} // namespace

int main()
{
    // RapidCheck prints how to reproduce a failure at exit. The handler is
    // registered first, so that the counts are printed after that.
    if (std::atexit(print_counts) != 0)
    {
        return 1;
    }
    setenv("RC_PARAMS", fixed_parameters, 0);
    passed = rc::check("failover keeps every confirmed write",
                       []
                       {
                           ++sequences;
                           run_sequence();
                       });
    return passed ? 0 : 1;
}
