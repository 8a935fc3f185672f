#!/bin/sh
# Builds the stand-ins and the cases' programs into review/build/. Needs what
# the build of deploy/system.toml needs, and no network.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in standin/*.cpp; do
    object=build/$(basename "$source" .cpp).o
    g++ -std=c++17 -O1 -Wall -Wextra -Wpedantic -pthread -c "$source" -o "$object"
done
for source in [1-5]/*.cpp; do
    [ -e "$source" ] || continue
    g++ -std=c++17 -O1 -Wall -Wextra -Wpedantic -pthread "$source" build/*.o \
        -o "build/$(basename "$source" .cpp)" -lboost_json
done
