#!/usr/bin/env bash
# Engines hold a program's cache while its tool call runs, and release it when the
# program is closed or its owner dies.
BUILD=$1
FLEET_BASE_PORT=32000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet

call='{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]}'
auth=(-H "Authorization: Bearer $HANMAE")
held () { for i in 1 2; do curl -s "$(engine_url $i)/v1/holds" | jq -r '.holds[]'; done; }

# model_and_tool HOST-INDEX: opens a program and makes a model call and a tool call
model_and_tool () {
  open_program "$HANMAE" "$1"
  CURSOR=$(curl -s -X POST "${auth[@]}" -H "X-Galena-Cursor: $CURSOR" -d "$call" \
    "$(caller "$1")/v1/programs/$PROGRAM/calls" | grep -o '"cursor":"[^"]*"' | cut -d'"' -f4)
  curl -s -o /dev/null -X POST "${auth[@]}" -H "X-Galena-Cursor: $CURSOR" -d '{}' \
    "$(caller "$1")/v1/programs/$PROGRAM/tools/seat/x"
}
wait_no_holds () {
  for _ in $(seq 400); do
    [ -z "$(held)" ] && return 0
    sleep 0.05
  done
  return 1
}

model_and_tool 1
for _ in $(seq 100); do [ -n "$(held)" ] && break; sleep 0.02; done
expect "held while the tool runs" "$PROGRAM" "$(held)"
curl -s -o /dev/null -X DELETE "${auth[@]}" "$(caller 1)/v1/programs/$PROGRAM"
wait_no_holds || fail "held after the program was closed: $(held)"
pass "released when the program is closed"
model_and_tool 1
for _ in $(seq 100); do [ -n "$(held)" ] && break; sleep 0.02; done
kill -KILL "${FLEET_HOST_PID[a1]}"
wait_no_holds || fail "held after its owner's death: $(held)"
pass "no hold remains after its owner's death"
finish
