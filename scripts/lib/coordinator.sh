# Shell functions for tests of the coordinator of several session daemons. To be
# sourced after session_daemon.sh.

# coordinator: prints the VM that took the lease with the highest token.
coordinator()
{
    cat "$fleet"/log/vm* | grep '"event":"duty_taken"' |
        sed 's/.*"vm":"\([^"]*\)".*"token":"\([0-9]*\)".*/\2 \1/' |
        sort -n | tail -n 1 | cut -d ' ' -f 2
}

has_coordinator()
{
    [ -n "$(coordinator)" ]
}

# violations: prints what is wrong with the orders' tokens; succeeds if nothing.
violations()
{
    local text
    text=$(call_group /violations)
    [ "$text" = "0 violations" ] || { echo "$text"; return 1; }
}
