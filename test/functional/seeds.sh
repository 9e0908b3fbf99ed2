#!/usr/bin/env bash
# A host that starts without state while the platform is unavailable gets its
# configuration from another host and serves; a withdrawn key stays withdrawn.
BUILD=$1
FLEET_BASE_PORT=18000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet
KAJASTE_ID=$(fleet_ctl --json key list | jq -r '.[] | select(.[1] == "kajaste") | .[0]')
curl -s -o /dev/null -d '{"outage_ms": 600000}' "$GALENA_PLATFORM/faults"
fleet_ctl -o "127.0.0.1:$((FLEET_BASE_PORT + 301))" key withdraw "$KAJASTE_ID" --here >/dev/null
fleet_settings a3 dc-a 6 no "\"seeds\": [\"127.0.0.1:$((FLEET_BASE_PORT + 201))\"],"
fleet_host a3
answer=""
for _ in $(seq 400); do
  answer=$(curl -s -X POST -H "Authorization: Bearer $HANMAE" "$(caller 6)/v1/programs" || true)
  grep -q cursor <<<"$answer" && break
  sleep 0.05
done
expect "the host opens a program" '"cursor":"' "$answer"
PROGRAM=$(jq -r .program <<<"$answer")
CURSOR=$(jq -r .cursor <<<"$answer")
expect "the host serves a call" 'event: done' \
  "$(curl -s -X POST -H "Authorization: Bearer $HANMAE" -H "X-Galena-Cursor: $CURSOR" \
    -d '{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]}' \
    "$(caller 6)/v1/programs/$PROGRAM/calls")"
expect "the host refuses a key withdrawn during the outage" 'has been withdrawn' \
  "$(curl -s -X POST -H "Authorization: Bearer $KAJASTE" "$(caller 6)/v1/programs")"
finish
