# Shell functions for daemons that serve sessions, with the stand-ins of the
# platform's store and of a group of backend servers. To be sourced after
# fleet.sh and fleet_prepare.

# session_settings PORT: fills in the daemon's settings template; the daemon
# listens on PORT and expects the store on PORT + 2.
session_settings()
{
    port=$((${PORT_SHIFT:-0} + $1))
    check_port_shift
    store=$((port + 2))
    vm_settings vm1 "$port" session
}

# check_port_shift: ends the test if PORT_SHIFT moves the ports to where the
# system takes those of outgoing connections, any of which may be in use.
check_port_shift()
{
    local first_outgoing rest highest=$((port + 100))
    read -r first_outgoing rest </proc/sys/net/ipv4/ip_local_port_range
    if [ -n "${PORT_SHIFT:-}" ] && [ "$highest" -ge "$first_outgoing" ]; then
        echo "PORT_SHIFT=$PORT_SHIFT: ports from $first_outgoing on are those of outgoing connections"
        exit 1
    fi
}

# vm_settings VM FIRST_PORT FILE: fills in the settings template of one of the
# daemons, which listens on FIRST_PORT and the next ones.
vm_settings()
{
    sed -e '/^{{#/d' -e "s/{{nodeName}}/$1/; s/{{zone}}/a/; s/{{region}}/r/" \
        -e '/^{{\/zones}}/d; s/{{@}}/a/; s/{{\.}}/r/' \
        -e "s/{{listen.frontend}}/127.0.0.1:$2/" \
        -e "s/{{listen.readiness}}/127.0.0.1:$(($2 + 1))/" \
        -e "s/{{platform.address}}/127.0.0.1:$store/" \
        -e "s/{{cloud.address}}/127.0.0.1:$((port + 3))/" \
        -e "s/{{internalPorts.0}}/$(($2 + 4))/" \
        -e 's/{{bounds.graceS}}/3/; s/{{bounds.quotaWindowS}}/5/' \
        -e 's/{{bounds.quotaOverage}}/0.1/; s/{{bounds.quotaSlack}}/20/' \
        -e 's/{{bootstrap}}/true/; s/{{limits.cpuShare}}/0.25/' \
        -e "s/{{limits.memoryMb}}/${memory_mb:-260}/; s/{{limits.maxFds}}/${max_fds:-4300}/" \
        "$root/deploy/daemon.ini" >"$fleet/settings/$3.ini"
}

# start_store [OPTION...]: starts the stand-in of the store.
start_store()
{
    start store "$build/standin/tanagerhoist-standin-store" \
        --port "$store" "$@"
}

start_session_daemon()
{
    start session "$build/tools/tanagerhoistd" "$fleet/settings/session.ini"
}

# start_vms COUNT: starts daemons vm1, vm2 and so on, each with ten ports.
start_vms()
{
    local i
    for ((i = 1; i <= $1; ++i)); do
        vm_settings "vm$i" $((port + 10 * i)) "vm$i"
        start "vm$i" "$build/tools/tanagerhoistd" "$fleet/settings/vm$i.ini"
    done
}

# start_group [OPTION...]: starts the stand-in of group g with the servers s1,
# s2 and s3, and of the call that promotes them.
start_group()
{
    start group "$build/standin/tanagerhoist-standin-session-group" \
        --port $((port + 3)) --store-port "$store" \
        --server "s1,127.0.0.1,$((port + 5))" \
        --server "s2,127.0.0.1,$((port + 6))" \
        --server "s3,127.0.0.1,$((port + 7))" "$@"
}

# logged TEXT...: whether a line of the daemon's log has all texts.
logged()
{
    logged_by session "$@"
}

# logged_by NAME TEXT...: whether a line of the process's log has all texts.
logged_by()
{
    local text lines
    lines=$(cat "$fleet/log/$1")
    shift
    for text in "$@"; do
        lines=$(grep -F -- "$text" <<<"$lines") || return 1
    done
}

# call TARGET [BODY]: sends a request to the store and prints the answer.
call()
{
    call_port "$store" "$@"
}

# call_group TARGET [BODY]: sends a request to the group and prints the answer's
# body.
call_group()
{
    call_port $((port + 3)) "$@" | sed '1,/^\r$/d'
}

# call_port PORT TARGET [BODY]: sends a request and prints the answer.
call_port()
{
    local body=${3:-}
    { exec 3<>"/dev/tcp/127.0.0.1/$1"; } 2>/dev/null || return 1
    printf 'POST %s HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' \
        "$2" "${#body}" "$body" >&3
    cat <&3
    exec 3>&-
}

# calls: prints how many calls the store has had.
calls()
{
    call /calls | grep -E '^[0-9]+$'
}

# write_row TABLE KEY: writes a row with the value from standard input.
write_row()
{
    call /api/rows-tx "{\"puts\":[{\"table\":\"$1\",\"part\":\"\",\"key\":\"$2\",\"value\":\"$(base64 -w 0)\"}]}" |
        grep -q '"ver"'
}

# publish_routes VERSION DATABASE...: writes the configuration as the operator;
# the databases are served by group g, with $max_conns connections a server.
publish_routes()
{
    local version=$1 name routes=''
    shift
    for name in "$@"; do
        routes+="${routes:+,}{\"database\":\"$name\",\"backend\":\"g\",\"type\":\"primary\",\"timeoutMs\":1000,\"targetLatencyMs\":200,\"public\":true}"
    done
    printf '{"version":%d,"routes":[%s],"services":[{"name":"g","maxConns":%d}],"tenants":[]}' \
        "$version" "$routes" "${max_conns:-9}" | write_row op config
}

# opens DATABASE: whether a session on it is accepted.
opens()
{
    local line
    exec 4<>"/dev/tcp/127.0.0.1/$port" || return 1
    printf 'STARTUP %s -\r\n' "$1" >&4
    read -r line <&4
    exec 4>&-
    [[ $line == READY* ]]
}
