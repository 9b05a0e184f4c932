#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into build/review-2. Needs the build of the deploy file, whose library holds the code that the project's fakes use.
set -euo pipefail
cd "$(dirname "$0")/.."
out=build/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -Isrc -Itest/harness -Ireview/standin-2)
objects=()
for source in review/standin-2/kit.cpp test/harness/platformfakes.cpp test/harness/ports.cpp test/harness/process.cpp; do
    object=$out/$(basename "$source" .cpp).o
    g++ "${flags[@]}" -c "$source" -o "$object"
    objects+=("$object")
done
for source in review/standin-2/case*.cpp; do
    g++ "${flags[@]}" "$source" "${objects[@]}" target/libcyclamenspool_logic.a -lyaml-cpp -lboost_json -lxxhash -pthread -o "$out/$(basename "$source" .cpp)"
done
