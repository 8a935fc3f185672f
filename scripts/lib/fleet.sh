# Shell functions to run a fleet on loopback: stand-ins, daemons and load.
# Used by scripts/quickstart and the tests in tests/process.
#
# Processes are stopped by process id, and only those started here.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
build=${BUILD_DIR:-$root/build}
declare -A pids=()
passed=0
failed=0

# fleet_prepare EXAMPLE SHIFT: copies the example's files into the temporary
# directory $fleet and adds SHIFT to every port. The environment variable
# PORT_SHIFT is added as well, so that several checkouts can run on one host.
fleet_prepare()
{
    local example="$root/examples/$1" shift=$(($2 + ${PORT_SHIFT:-0})) file
    fleet=$(mktemp -d)
    trap fleet_end EXIT
    mkdir "$fleet/settings" "$fleet/settings/vm" "$fleet/log"
    for file in "$example"/*.ini "$example"/vm/*.ini; do
        awk -v shift="$shift" \
            '/^[a-z_]*port = /{ $3 += shift } { print }' \
            "$file" >"$fleet/settings/${file#"$example/"}"
    done
    sed -n 's/^; *\([a-z0-9-]*\.try-[a-z0-9-]*\)$/\1/p' \
        "$example/keys.ini" >"$fleet/keys"
    platform=127.0.0.1:$(value platform port "$fleet/settings/vm/vm1.ini")
}

# value SECTION KEY FILE: prints the value of a setting.
value()
{
    awk -v section="[$1]" -v key="$2" \
        '/^\[/{ here = $0 == section } here && $1 == key { print $3 }' "$3"
}

# start NAME COMMAND...: starts a background process; logs to $fleet/log/NAME.
start()
{
    local name=$1
    shift
    "$@" >>"$fleet/log/$name" 2>&1 &
    pids[$name]=$!
}

# running ID: whether the process is still running.
running()
{
    kill -0 "$1" 2>/dev/null
}

# ends NAME: waits for a process and returns its exit code; fails if it does not
# exit in time.
ends()
{
    local id=${pids[$1]} code
    wait_for refute running "$id" || { echo "$1 does not end"; return 1; }
    unset "pids[$1]"
    wait "$id" 2>/dev/null
    code=$?
    [ $code -eq 0 ] || echo "$1 ended with $code"
    return $code
}

# stop NAME [SIGNAL]: sends a signal, TERM by default, and returns the exit code
# of the process.
stop()
{
    kill "-${2:-TERM}" "${pids[$1]}"
    ends "$1"
}

fleet_end()
{
    local name
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null
        wait "${pids[$name]}" 2>/dev/null
    done
    rm -rf "$fleet"
}

start_platform()
{
    local file options=()
    for file in "$fleet"/settings/vm/*.ini; do
        options+=(--vm "$(value vm name "$file"),$(value vm data_centre "$file"),127.0.0.1,$(value listen peer_port "$file")")
    done
    start platform "$build/standin/tanagerhoist-standin-platform" \
        --port "${platform##*:}" "${options[@]}"
}

# servers DATABASE: prints the names of its servers, the initial primary first.
servers()
{
    awk -v database="$1" '/^\[server /{ name = substr($2, 1, length($2) - 1) }
        $1 == "database" && $3 == database { print name }' \
        "$fleet/settings/databases.ini"
}

# address_of SERVER: prints its ADDRESS:PORT.
address_of()
{
    echo "127.0.0.1:$(value "server $1" port "$fleet/settings/databases.ini")"
}

# start_databases [OPTION...]: starts all servers of all database groups.
start_databases()
{
    local database name group first
    for database in $(sed -n 's/^\[database \(.*\)\]$/\1/p' "$fleet/settings/databases.ini"); do
        group=()
        for name in $(servers "$database"); do
            group+=(--server "$name,$(address_of "$name" | tr : ,)")
        done
        first=--primary
        for name in $(servers "$database"); do
            start "$name" "$build/standin/tanagerhoist-standin-database" \
                --name "$name" "${group[@]}" $first "$@"
            first=
        done
    done
}

start_daemon()
{
    start "$1" "$build/tools/tanagerhoistd" "$fleet/settings/vm/$1.ini"
}

# daemons: prints the names of all VMs.
daemons()
{
    local file
    for file in "$fleet"/settings/vm/*.ini; do
        value vm name "$file"
    done
}

# publish COMMAND OPTION...: runs tanagerhoist-publish on this fleet's platform.
publish()
{
    "$build/tools/tanagerhoist-publish" --platform "$platform" "$@"
}

# load COMMAND OPTION...: runs tanagerhoist-load with the callers' API keys.
load()
{
    local command=$1
    shift
    "$build/tools/tanagerhoist-load" "$command" --keys "$fleet/keys" "$@"
}

# start_load OPTION...: starts load in the background; its writes are verified
# when it is stopped.
start_load()
{
    start load "$build/tools/tanagerhoist-load" run --keys "$fleet/keys" \
        "$fleet/settings" --seconds 120 --verify "$@"
}

# start_ask NAME OPTION...: sends one request in the background.
start_ask()
{
    local name=$1
    shift
    start "$name" "$build/tools/tanagerhoist-load" ask --keys "$fleet/keys" \
        "$fleet/settings" --key "$(head -n 1 "$fleet/keys")" "$@"
}

# ask OPTION...: sends one request with the first caller's key.
ask()
{
    load ask "$fleet/settings" --key "$(head -n 1 "$fleet/keys")" "$@"
}

# wait_for COMMAND...: retries every 0.1 s until success, at most 600 times.
wait_for()
{
    local attempt
    for ((attempt = 0; attempt < 600; ++attempt)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    return 1
}

# fleet_start [OPTION...]: starts the fleet and waits until every daemon serves
# every database. The options are passed to the database servers.
fleet_start()
{
    local name
    start_platform
    start_databases "$@"
    wait_for load dump "$platform" || return 1
    publish publish --from 0 "$fleet/settings" || return 1
    for name in $(daemons); do
        start_daemon "$name"
    done
    load wait "$fleet/settings" --seconds 60
}

# primary_of DATABASE: prints the primary with the highest sealed term.
primary_of()
{
    local name dump
    for name in $(servers "$1"); do
        dump=$(load dump "$(address_of "$name")" 2>/dev/null) || continue
        grep -q '"primary":true' <<<"$dump" || continue
        echo "$(sed 's/.*"sealedTerm":"\([0-9]*\)".*/\1/' <<<"$dump") $name"
    done | sort -n | tail -n 1 | cut -d ' ' -f 2
}

# log_length DATABASE: prints the number of client writes in its primary's log.
log_length()
{
    load dump "$(address_of "$(primary_of "$1")")" | grep -o '"requestId"' | wc -l
}

log_of_primary_has()
{
    [ "$(log_length "$1")" -ge "$2" ]
}

# log_grows DATABASE: waits for 20 further entries in its primary's log.
log_grows()
{
    wait_for log_of_primary_has "$1" $(($(log_length "$1") + 20))
}

# promoted DATABASE SERVER: whether a server other than SERVER is primary.
promoted()
{
    local now
    now=$(primary_of "$1")
    [ -n "$now" ] && [ "$now" != "$2" ]
}

# held DATABASE PATTERN: whether its primary's log has a request id that starts
# with PATTERN.
held()
{
    load dump "$(address_of "$(primary_of "$1")")" | grep -q "\"requestId\":\"$2"
}

# metric VM NAME VALUE: whether a metric of the daemon has this value.
metric()
{
    local port
    port=$(value listen caller_port "$fleet/settings/vm/$1.ini")
    load metrics "127.0.0.1:$port" | grep -q "^tanagerhoist_$2 $3\$"
}

# drain_daemons: sends SIGTERM to all daemons at once; fails unless all exit
# with 0.
drain_daemons()
{
    local name clean=0
    for name in $(daemons); do
        [ -n "${pids[$name]:-}" ] && kill -TERM "${pids[$name]}"
    done
    for name in $(daemons); do
        [ -z "${pids[$name]:-}" ] || ends "$name" || clean=1
    done
    return $clean
}

# check TEXT COMMAND...: runs a command as one test case.
check()
{
    local text=$1
    shift
    if "$@"; then
        passed=$((passed + 1))
    else
        failed=$((failed + 1))
        echo "FAILED: $text"
    fi
}

# refute COMMAND...: succeeds if the command fails.
refute()
{
    ! "$@"
}

# report: prints the counts of passed and failed checks, after the ends of the
# logs if any failed.
report()
{
    [ "$failed" -eq 0 ] || tail -n 3 "$fleet"/log/vm* "$fleet"/log/session "$fleet"/log/group 2>/dev/null
    [ ! -f "$fleet/log/load" ] || cat "$fleet/log/load"
    echo "$passed passed, $failed failed"
    [ "$failed" -eq 0 ]
}
