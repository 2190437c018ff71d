#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")" || exit 2
program=../../target/review-2/case-9
[ -x "$program" ] && [ -x ../../target/wagtailhatch-node ] || {
  echo "build with the command of deploy/system.toml and review/build-2.sh first" >&2
  exit 2
}
REPOSITORY=../.. timeout -k 2 118 "$program"
status=$?
[ $status -le 1 ] || status=2
exit $status
