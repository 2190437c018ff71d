#!/usr/bin/env bash
# Builds the stand-ins of the review into target/review. Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$name" "$source"
done
