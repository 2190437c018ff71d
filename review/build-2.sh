#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases 6 to 10 into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
ninja -C target standin-platform
cp target/standin-platform target/review-2/
for main in review/*/case.cpp; do
  name=$(basename "$(dirname "$main")")
  g++ -std=c++20 -O1 -pthread -I review/6 -o "target/review-2/case-$name" "$main" review/6/harness.cpp
done
