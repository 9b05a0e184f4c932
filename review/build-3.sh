#!/usr/bin/env bash
# Builds the stand-ins of review/REPORT-3.md into target/review-3. Run after the build of the deploy file; needs its compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
g++ -std=c++20 -O1 -pthread -o target/review-3/cold review/standin-3/platform.cpp review/standin-3/cold.cpp
