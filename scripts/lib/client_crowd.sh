# Shell functions for crowds of clients that misbehave towards one daemon, which
# knows the memory and descriptors of its machine. To be sourced after
# session_daemon.sh and session_settings.

memory_mb=96
max_fds=256

# crowd_prepare: starts the store and, within $max_fds descriptors, the daemon,
# and writes the settings of database one.
crowd_prepare()
{
    start_store
    check "the store answers" wait_for calls
    check "the settings are written" publish_routes 10 one
    start session bash -c "ulimit -n $max_fds && exec \"\$0\" \"\$@\"" \
        "$build/tools/tanagerhoistd" "$fleet/settings/session.ini"
    check "the daemon serves" wait_for serves
}

# start_crowd PATTERN CLIENTS: starts a crowd, and waits until none of its clients
# can send any more. It connects to $crowd_port if that is set.
start_crowd()
{
    start crowd "$build/standin/tanagerhoist-standin-client-crowd" \
        --port "${crowd_port:-$port}" --crowd "$1" --clients "$2"
    check "the crowd settles" wait_for logged_by crowd "crowd has settled"
}

# serves: whether an ordinary session is opened and a statement answered.
serves()
{
    local line id=${1:-q1}
    exec 4<>"/dev/tcp/127.0.0.1/$port" || return 1
    printf 'STARTUP one -\r\nQUERY %s SET a b\r\nTERMINATE\r\n' "$id" >&4
    line=$(timeout 20 cat <&4)
    exec 4>&-
    grep -q '^COMPLETE' <<<"$line"
}

# status_kb FIELD: prints a figure of the daemon's memory in kB.
status_kb()
{
    awk -v field="$1:" '$1 == field { print $2 }' "/proc/${pids[session]}/status"
}

# within_memory: whether the daemon has never held more than its machine has.
within_memory()
{
    local peak
    peak=$(status_kb VmHWM)
    echo "memory: peak $peak kB, limit $((memory_mb * 1024)) kB" >>"$fleet/log/bounds"
    [ -n "$peak" ] && [ "$peak" -le $((memory_mb * 1024)) ]
}

# within_descriptors: whether the daemon leaves descriptors to its other work.
within_descriptors()
{
    local open most=$((max_fds - 16))
    open=$(ls "/proc/${pids[session]}/fd" | wc -l)
    echo "descriptors: $open open, limit $most" >>"$fleet/log/bounds"
    [ "$open" -le "$most" ]
}

# probe_answered: whether the balancer's probe is answered.
probe_answered()
{
    local line
    exec 5<>"/dev/tcp/127.0.0.1/$((port + 1))" || return 1
    printf 'GET /api/ready HTTP/1.0\r\n\r\n' >&5
    line=$(timeout 20 head -n 1 <&5)
    exec 5>&-
    [[ $line == HTTP/1* ]]
}

# attempt COMMAND...: runs a command up to three times, as a client that retries.
attempt()
{
    "$@" || "$@" || "$@"
}

# crowd_checks: what holds while a crowd keeps its connections.
crowd_checks()
{
    check "the daemon lives" running "${pids[session]}"
    check "its memory is within the machine's" within_memory
    check "its descriptors are within the machine's" within_descriptors
    check "the balancer's probe is answered" attempt probe_answered
    check "an ordinary request is answered" attempt serves
}

# crowd_report: prints the figures, and ends the test.
crowd_report()
{
    cat "$fleet/log/bounds"
    report
}

# crowd_test PORT PATTERN CLIENTS: a whole test.
crowd_test()
{
    session_settings "$1"
    crowd_prepare
    start_crowd "$2" "$3"
    crowd_checks
    crowd_report
}

# reads_from_server: whether a statement that needs the primary is answered.
reads_from_server()
{
    local line
    exec 4<>"/dev/tcp/127.0.0.1/$port" || return 1
    printf 'STARTUP one -\r\nQUERY r READ item\r\nTERMINATE\r\n' >&4
    line=$(timeout 20 cat <&4)
    exec 4>&-
    grep -q '^COMPLETE signature' <<<"$line"
}

# leave_values FD: opens a session on the descriptor, which sets $values values of
# $text, uses them at a server inside a transaction and replaces them by small
# ones; returns once it is answered or closed.
leave_values()
{
    local i line fd=$1 answers=0
    eval "exec $fd<>/dev/tcp/127.0.0.1/$port" || return 1
    {
        printf 'STARTUP one -\r\n'
        for ((i = 1; i <= values; ++i)); do
            printf 'QUERY a%d SET v%d %s\r\n' $i $i "$text"
        done
        printf 'QUERY b BEGIN\r\nQUERY r READ item\r\n'
        for ((i = 1; i <= values; ++i)); do
            printf 'QUERY c%d SET v%d x\r\n' $i $i
        done
    } 2>/dev/null >&"$fd" &
    while read -r -t 60 -u "$fd" line; do
        [[ $line != COMPLETE* && $line != ERROR* ]] || answers=$((answers + 1))
        [ $answers -lt $((2 * values + 2)) ] || break
    done
    wait $!
}

# values_test PORT SESSIONS: a whole test, with such sessions one after the other.
values_test()
{
    local fd last=$((19 + $2))
    session_settings "$1"
    crowd_prepare
    start_group
    check "a server answers" wait_for reads_from_server
    for ((fd = 20; fd <= last; ++fd)); do
        leave_values $fd
    done
    crowd_checks
    for ((fd = 20; fd <= last; ++fd)); do
        eval "exec $fd>&-"
    done
    check "a server answers afterwards" wait_for reads_from_server
    crowd_checks
    crowd_report
}
