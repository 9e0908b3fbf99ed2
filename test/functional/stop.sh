#!/usr/bin/env bash
# Stops each host in turn under load: no stream is cut, no request is refused, and
# each host exits with status 0.
BUILD=$1
FLEET_BASE_PORT=30000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet
start_load --programs 60
sleep 1
for host in a1 a2 b1 b2 c1; do
  kill -TERM "${FLEET_HOST_PID[$host]}"
  wait "${FLEET_HOST_PID[$host]}" || fail "$host exited with status $?"
  pass "$host exits with status 0"
  fleet_host "$host"
  sleep 0.5
done
check_load
[ "$(jq '[.customers[].refusals | to_entries[] | select(.key != "no_answer") | .value] | add // 0' \
    "$FLEET_DIR/report.json")" = 0 ] \
  || fail "refusals: $(jq -c '[.customers[].refusals]' "$FLEET_DIR/report.json")"
pass "no request was refused"
finish
