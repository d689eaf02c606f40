#!/usr/bin/env bash
# Plays the case on loopback addresses and the real clock. TROUBLE=0 leaves the disruption out.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
program="$root/review/stand-ins/target/release/drained_machine_vanishes"
run="$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$root/deploy/balancer.toml")"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/basaltpitch" ] || [ -z "$run" ]; then
  echo "the build of the deploy file or review/build.sh is missing" >&2
  exit 2
fi
temporary="$(mktemp -d)" || exit 2
trap 'rm -rf "$temporary"' EXIT
rm -f "$here/record.txt" "$temporary/planner.log"
ROOT="$root" RUN="$run" RECORD="$here/record.txt" PLANNER_LOG="$temporary/planner.log" TMPDIR="$temporary" \
  timeout --kill-after=2 110 "$program"
code=$?
if [ "$code" -ge 124 ] && [ -s "$temporary/planner.pid" ]; then
  kill -KILL "$(cat "$temporary/planner.pid")" 2>/dev/null
fi
sed 's/^/planner log: /' "$temporary/planner.log" >> "$here/record.txt" 2>/dev/null
case "$code" in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
