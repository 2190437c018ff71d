#!/usr/bin/env bash
# run-case.sh FOLDER PROGRAM: runs one case in a temporary folder; its record goes to FOLDER/record.txt.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$1" && pwd) program=$2
cd "$(dirname "$0")/../.." || exit 2
[ -x "target/review/$program" ] && [ -x target/wagtailhatch-node ] || {
  echo "build with the command of deploy/system.toml and review/build.sh first" >&2
  exit 2
}
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
# The program's children end with it.
timeout -k 2 110 "target/review/$program" "$temporary" "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
