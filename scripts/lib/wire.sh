# Shell functions for tests of the line protocol: one daemon between servers that
# misbehave and clients that check their answers. To be sourced after fleet.sh and
# fleet_prepare.

source "$root/scripts/lib/session_daemon.sh"

# wire_run MODE SEED [OPTION...]: runs the servers and clients to their end against
# a daemon and a store of its own; prints the counts and the first broken cases.
wire_run()
{
    local mode=$1 seed=$2 status
    shift 2
    start_store
    wait_for calls || { echo "the store does not answer"; return 1; }
    start_session_daemon
    "$build/standin/tanagerhoist-standin-wire" --mode "$mode" --seed "$seed" \
        --port "$port" --readiness-port $((port + 1)) --store-port "$store" \
        --server-port $((port + 5)) "$@" | grep -v '^\[.*\] \[info\]'
    status=${PIPESTATUS[0]}
    stop session KILL >/dev/null 2>&1
    stop store KILL >/dev/null 2>&1
    return "$status"
}

# wire_restarts SEED [OPTION...]: the same while the daemon is stopped and started again and
# again: its drain is to answer all that it has read. Each stop must end with 0.
wire_restarts()
{
    local seed=$1 status=0 restarts=0 most_restarts=40
    shift
    start_store
    wait_for calls || { echo "the store does not answer"; return 1; }
    start_session_daemon
    : >"$fleet/log/wire"
    start wire "$build/standin/tanagerhoist-standin-wire" --mode restarts \
        --seed "$seed" --port "$port" --readiness-port $((port + 1)) \
        --store-port "$store" --server-port $((port + 5)) "$@"
    while running "${pids[wire]}"; do
        sleep "$((seed % 3 + 1)).$((seed * 37 % 10))"
        stop session || status=1
        start_session_daemon
        ((++restarts < most_restarts)) || { echo "the clients do not end"; status=1; break; }
    done
    running "${pids[wire]}" && kill -KILL "${pids[wire]}"
    ends wire || status=1
    grep -v '^\[.*\] \[info\]' "$fleet/log/wire"
    stop session KILL >/dev/null 2>&1
    stop store KILL >/dev/null 2>&1
    return "$status"
}

# wire_test PORT MODE SEED...: a whole test, with one run for each seed.
wire_test()
{
    local mode=$2 seed
    session_settings "$1"
    shift 2
    for seed; do
        check "$mode, seed $seed: clients get what is theirs" wire_run "$mode" "$seed"
    done
    report
}
