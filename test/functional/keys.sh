#!/usr/bin/env bash
# A withdrawn key is refused everywhere, and open streams that use it are cut.
BUILD=$1
FLEET_BASE_PORT=31000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet
KAJASTE_ID=$(fleet_ctl --json key list | jq -r '.[] | select(.[1] == "kajaste") | .[0]')

long='{"model":"m","max_tokens":100000,"messages":[{"role":"user","content":"x"}]}'
fleet_ctl template set agents max_tokens_per_call=100000 >/dev/null
fleet_ctl wait >/dev/null
open_program "$HANMAE" 1
curl -s -N -X POST -H "Authorization: Bearer $HANMAE" -H "X-Galena-Cursor: $CURSOR" \
  -d "$long" "$(caller 2)/v1/programs/$PROGRAM/calls" >"$FLEET_DIR/stream" &
stream=$!
while ! grep -q 'id: 20$' "$FLEET_DIR/stream"; do sleep 0.05; done
id=$(fleet_ctl --json key list | jq -r '.[] | select(.[1] == "hanmae") | .[0]')
fleet_ctl key withdraw "$id" >/dev/null
wait "$stream" && fail "the stream ended as if it were complete"
pass "an open stream is cut"
fleet_ctl wait >/dev/null
for index in 1 2 3 4 5; do
  expect "host $index refuses the key" 'has been withdrawn' \
    "$(curl -s -X POST -H "Authorization: Bearer $HANMAE" "$(caller $index)/v1/programs")"
done

# Withdraws a key in one data centre while the platform is unavailable.
curl -s -o /dev/null -d '{"outage_ms": 60000}' "$GALENA_PLATFORM/faults"
fleet_ctl -o "127.0.0.1:$((FLEET_BASE_PORT + 301))" key withdraw "$KAJASTE_ID" --here >/dev/null
for index in 1 2 3 4 5; do
  for _ in $(seq 100); do
    answer=$(curl -s -X POST -H "Authorization: Bearer $KAJASTE" "$(caller $index)/v1/programs")
    grep -q 'has been withdrawn' <<<"$answer" && break
    sleep 0.05
  done
  expect "host $index refuses the key without the platform" 'has been withdrawn' "$answer"
done
finish
