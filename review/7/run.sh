#!/bin/sh
# Runs the case for less than a minute; see claim.txt. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=review/build-2/drain_cuts_requests
[ -x "$program" ] && [ -x target/tools/tanagerhoistd ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 110 "$program" "$folder" "$here/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
