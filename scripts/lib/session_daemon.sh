# Shell functions for a daemon that serves sessions, with the stand-in of the
# platform's store. To be sourced after fleet.sh and fleet_prepare.

# session_settings PORT: fills in the daemon's settings template; the daemon
# listens on PORT and expects the store on PORT + 2.
session_settings()
{
    port=$((${PORT_SHIFT:-0} + $1))
    store=$((port + 2))
    sed -e 's/{{nodeName}}/vm1/; s/{{zone}}/a/; s/{{region}}/r/' \
        -e "s/{{listen.frontend}}/127.0.0.1:$port/" \
        -e "s/{{listen.readiness}}/127.0.0.1:$((port + 1))/" \
        -e "s/{{platform.address}}/127.0.0.1:$store/" \
        -e "s/{{cloud.address}}/127.0.0.1:$((port + 3))/" \
        -e "s/{{internalPorts.0}}/$((port + 4))/" \
        -e 's/{{bounds.graceS}}/3/; s/{{bounds.quotaWindowS}}/5/' \
        -e 's/{{bounds.quotaOverage}}/0.1/; s/{{bounds.quotaSlack}}/20/' \
        -e 's/{{bootstrap}}/true/; s/{{limits.cpuShare}}/0.25/' \
        "$root/deploy/daemon.ini" >"$fleet/settings/session.ini"
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

# logged TEXT...: whether a line of the daemon's log has all texts.
logged()
{
    local text lines
    lines=$(cat "$fleet/log/session")
    for text in "$@"; do
        lines=$(grep -F -- "$text" <<<"$lines") || return 1
    done
}

# call TARGET [BODY]: sends a request to the store and prints the answer.
call()
{
    local body=${2:-}
    { exec 3<>"/dev/tcp/127.0.0.1/$store"; } 2>/dev/null || return 1
    printf 'POST %s HTTP/1.0\r\nContent-Length: %d\r\n\r\n%s' \
        "$1" "${#body}" "$body" >&3
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
# the databases are served by group g.
publish_routes()
{
    local version=$1 name routes=''
    shift
    for name in "$@"; do
        routes+="${routes:+,}{\"database\":\"$name\",\"backend\":\"g\",\"type\":\"primary\",\"timeoutMs\":1000,\"targetLatencyMs\":200,\"public\":true}"
    done
    printf '{"version":%d,"routes":[%s],"services":[{"name":"g","maxConns":9}],"tenants":[]}' \
        "$version" "$routes" | write_row op config
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
