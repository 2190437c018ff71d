#!/usr/bin/env bash
# Builds the program of each case into target/review. Run it after the build of deploy/system.toml.
# The stand-ins that all programs share are the headers in review/1.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[1-5]/*.cpp; do
  name=$(basename "$source" .cpp)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$name" "$source"
done
