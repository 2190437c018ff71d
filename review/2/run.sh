#!/usr/bin/env bash
# Orders that a stopping node takes later than 3 s after its SIGTERM are broken off.
exec "$(dirname "$0")/../standin/run-case.sh" "$(dirname "$0")" late_in_stop
