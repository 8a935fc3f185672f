# Shell functions that run a fleet on loopback: stand-ins, daemons, load.
# Used by scripts/quickstart and by the tests in tests/process.
#
# Every process is ended by its id, and only those that were started here.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
build=${BUILD_DIR:-$root/build}
declare -A pids=()
passed=0
failed=0

# fleet_prepare EXAMPLE SHIFT: copies the example's files into a directory of
# their own, $fleet, with SHIFT added to every port. PORT_SHIFT in the
# environment is added as well, for several checkouts on one machine.
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

# value SECTION KEY FILE: the value of a setting.
value()
{
    awk -v section="[$1]" -v key="$2" \
        '/^\[/{ here = $0 == section } here && $1 == key { print $3 }' "$3"
}

# start NAME COMMAND...: runs a process in the background.
start()
{
    local name=$1
    shift
    "$@" >>"$fleet/log/$name" 2>&1 &
    pids[$name]=$!
}

# running ID: whether a process started here has not ended yet.
running()
{
    kill -0 "$1" 2>/dev/null
}

# ends NAME: gives the exit code of a process once it has ended; fails if it
# does not end.
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

# stop NAME [SIGNAL]: sends a signal and gives the exit code of the process.
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

# servers DATABASE: names of its servers, the first primary first.
servers()
{
    awk -v database="$1" '/^\[server /{ name = substr($2, 1, length($2) - 1) }
        $1 == "database" && $3 == database { print name }' \
        "$fleet/settings/databases.ini"
}

# address_of SERVER: its ADDRESS:PORT.
address_of()
{
    echo "127.0.0.1:$(value "server $1" port "$fleet/settings/databases.ini")"
}

# start_databases [OPTION...]: all servers of all groups.
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

# daemons: names of all VMs.
daemons()
{
    local file
    for file in "$fleet"/settings/vm/*.ini; do
        value vm name "$file"
    done
}

# publish COMMAND OPTION...: tanagerhoist-publish at this fleet's platform.
publish()
{
    "$build/tools/tanagerhoist-publish" --platform "$platform" "$@"
}

# load COMMAND OPTION...: tanagerhoist-load with the callers' keys.
load()
{
    local command=$1
    shift
    "$build/tools/tanagerhoist-load" "$command" --keys "$fleet/keys" "$@"
}

# start_load OPTION...: load in the background, verified once it is stopped.
start_load()
{
    start load "$build/tools/tanagerhoist-load" run --keys "$fleet/keys" \
        "$fleet/settings" --seconds 120 --verify "$@"
}

# start_ask NAME OPTION...: one request in the background.
start_ask()
{
    local name=$1
    shift
    start "$name" "$build/tools/tanagerhoist-load" ask --keys "$fleet/keys" \
        "$fleet/settings" --key "$(head -n 1 "$fleet/keys")" "$@"
}

# ask OPTION...: one request as the first of the callers.
ask()
{
    load ask "$fleet/settings" --key "$(head -n 1 "$fleet/keys")" "$@"
}

# wait_for COMMAND...: tries until it succeeds, at most 600 times.
wait_for()
{
    local attempt
    for ((attempt = 0; attempt < 600; ++attempt)); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    return 1
}

# fleet_start: everything, until every daemon serves every database.
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

# primary_of DATABASE: the server of the highest term that is a primary.
primary_of()
{
    local name dump
    for name in $(servers "$1"); do
        dump=$(load dump "$(address_of "$name")" 2>/dev/null) || continue
        grep -q '"primary":true' <<<"$dump" || continue
        echo "$(sed 's/.*"sealedTerm":"\([0-9]*\)".*/\1/' <<<"$dump") $name"
    done | sort -n | tail -n 1 | cut -d ' ' -f 2
}

# log_length DATABASE: entries in its primary's log.
log_length()
{
    load dump "$(address_of "$(primary_of "$1")")" | grep -o '"requestId"' | wc -l
}

log_of_primary_has()
{
    [ "$(log_length "$1")" -ge "$2" ]
}

# log_grows DATABASE: whether its primary takes further entries.
log_grows()
{
    wait_for log_of_primary_has "$1" $(($(log_length "$1") + 20))
}

# promoted DATABASE SERVER: whether another server is the primary.
promoted()
{
    local now
    now=$(primary_of "$1")
    [ -n "$now" ] && [ "$now" != "$2" ]
}

# held DATABASE PATTERN: whether its primary has a request id like this.
held()
{
    load dump "$(address_of "$(primary_of "$1")")" | grep -q "\"requestId\":\"$2"
}

# metric VM NAME VALUE: whether a daemon's metric has this value.
metric()
{
    local port
    port=$(value listen caller_port "$fleet/settings/vm/$1.ini")
    load metrics "127.0.0.1:$port" | grep -q "^tanagerhoist_$2 $3\$"
}

# drain_daemons: SIGTERM to all daemons at once; fails unless all exit with 0.
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

# check TEXT COMMAND...: runs a command as one test.
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

# report: the last line of a test.
report()
{
    [ "$failed" -eq 0 ] || tail -n 3 "$fleet"/log/vm*
    [ ! -f "$fleet/log/load" ] || cat "$fleet/log/load"
    echo "$passed passed, $failed failed"
    [ "$failed" -eq 0 ]
}
