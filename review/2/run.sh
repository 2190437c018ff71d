#!/usr/bin/env bash
# Orders that a stopping node takes later than 3 s after its SIGTERM are broken off.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
export TROUBLE="${TROUBLE:-1}"
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review/late_in_stop ] && [ -x target/wagtailhatch-node ] || {
  echo "build with the command of deploy/system.toml and review/build.sh first" >&2
  exit 2
}
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
# The program ends all processes that it started, and they end with it.
timeout -k 2 110 target/review/late_in_stop "$temporary" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
