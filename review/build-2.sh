#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases 6 to 10 into target/review-2. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
ninja -C target standin-platform
cp target/standin-platform target/review-2/
# The cases 6, 8 and 10 share review/6/harness.*, the cases 7 and 9 review/7/stand_ins.h.
for n in 6 8 10; do
  g++ -std=c++20 -O1 -pthread -I review/6 -o "target/review-2/case-$n" "review/$n/case.cpp" review/6/harness.cpp
done
for n in 7 9; do
  g++ -std=c++20 -O1 -pthread -o "target/review-2/case-$n" "review/$n/case.cpp"
done
