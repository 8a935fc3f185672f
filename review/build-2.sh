#!/bin/sh
# Builds the stand-ins of the second review and the programs of its cases into
# review/build-2/. Needs what the build of deploy/system.toml needs, and no
# network.
set -eu
cd "$(dirname "$0")"
mkdir -p build-2
compile()
{
    g++ -std=c++17 -O1 -Wall -Wextra -Wpedantic -pthread "$@"
}
for source in standin-2/*.cpp; do
    compile -c "$source" -o "build-2/$(basename "$source" .cpp).o" &
done
wait
for source in 6/*.cpp 7/*.cpp 8/*.cpp 9/*.cpp 10/*.cpp; do
    [ -e "$source" ] || continue
    compile "$source" build-2/*.o -o "build-2/$(basename "$source" .cpp)" \
        -lboost_json -lboost_context &
done
wait
