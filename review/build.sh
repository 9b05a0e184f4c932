#!/usr/bin/env bash
# Builds the stand-ins and drivers of all cases into target/review; run from anywhere, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for driver in review/[0-9]/case.cpp; do
    case=$(basename "$(dirname "$driver")")
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/standin -o "target/review/case$case" review/standin/platform.cpp "$driver"
done
