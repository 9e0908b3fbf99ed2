#!/usr/bin/env bash
# Bad input gets its typed error, the process stays up, and nothing leaks.
BUILD=$1
FLEET_BASE_PORT=22000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet

A=$(caller 1)
auth=(-H "Authorization: Bearer $HANMAE")
ask () { curl -s -m 20 "$@" || true; }
call='{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]}'

expect "no key" '"kind":"unauthorized","run":"not_run"' "$(ask -X POST "$A/v1/programs")"
expect "wrong key" '"kind":"unauthorized"' \
  "$(ask -X POST -H 'Authorization: Bearer gk_nothing' "$A/v1/programs")"
expect "odd scheme" '"kind":"unauthorized"' \
  "$(ask -X POST -H 'Authorization: Basic eA==' "$A/v1/programs")"
expect "unknown path" '"kind":"not_found"' "$(ask "${auth[@]}" "$A/v1/nothing")"
expect "wrong method" '"kind":"method_not_allowed"' "$(ask -X PUT "${auth[@]}" "$A/v1/programs")"

open_program "$HANMAE" 1
P="$A/v1/programs/$PROGRAM"
cur=(-H "X-Galena-Cursor: $CURSOR")
expect "malformed JSON" 'the body is not valid JSON' \
  "$(ask -X POST "${auth[@]}" "${cur[@]}" -d '{"model":' "$P/calls")"
expect "unknown key" 'unknown key .*colour' \
  "$(ask -X POST "${auth[@]}" "${cur[@]}" -d '{"model":"m","messages":[],"colour":1}' "$P/calls")"
expect "no model" 'model.* is missing' \
  "$(ask -X POST "${auth[@]}" "${cur[@]}" -d '{"messages":[]}' "$P/calls")"
expect "no messages" 'at least one message' \
  "$(ask -X POST "${auth[@]}" "${cur[@]}" -d '{"model":"m","messages":[]}' "$P/calls")"
expect "unknown model is not an engine's" '"kind":"(not_found|endpoint_failed)"|event: done' \
  "$(ask -X POST "${auth[@]}" "${cur[@]}" -d "${call/\"m\"/\"zzz\"}" "$P/calls")"
open_program "$HANMAE" 1
P="$A/v1/programs/$PROGRAM"
cur=(-H "X-Galena-Cursor: $CURSOR")
expect "no cursor" 'X-Galena-Cursor is missing' \
  "$(ask -X POST "${auth[@]}" -d "$call" "$P/calls")"
expect "forged cursor" 'the cursor is not valid here' \
  "$(ask -X POST "${auth[@]}" -H 'X-Galena-Cursor: AbCdEf' -d "$call" "$P/calls")"
mine=$CURSOR
open_program "$KAJASTE" 1
expect "foreign cursor" 'belongs to another program' \
  "$(ask -X POST "${auth[@]}" -H "X-Galena-Cursor: $CURSOR" -d "$call" "$P/calls")"
expect "foreign program" '"kind":"(not_found|bad_request)","run":"not_run"' \
  "$(ask -X POST "${auth[@]}" -H "X-Galena-Cursor: $mine" -d "$call" "$A/v1/programs/$PROGRAM/calls")"
expect "foreign program is not shown" '"kind":"not_found"' \
  "$(ask "${auth[@]}" "$A/v1/programs/$PROGRAM")"
expect "foreign program is not ended" '"kind":"not_found"' \
  "$(ask -X DELETE "${auth[@]}" "$A/v1/programs/$PROGRAM")"
expect "unknown program" '"kind":"not_found"' \
  "$(ask "${auth[@]}" "$A/v1/programs/dc-a.AAAAAAAAAAAAAAAAAAAAAA")"
head -c 9000000 /dev/zero >"$FLEET_DIR/large"
expect "oversize body" '"kind":"too_large","run":"not_run"' \
  "$(ask -X POST "${auth[@]}" "${cur[@]}" --data-binary "@$FLEET_DIR/large" "$P/calls")"
expect "oversize header" '^(431|413|400|000)$' \
  "$(ask -o /dev/null -w '%{http_code}' -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' a)" "$A/v1/programs")"
expect "unknown route" 'there is no route' \
  "$(ask -X POST "${auth[@]}" "${cur[@]}" -d '{}' "$P/tools/nothing/x")"
expect "the process stays up" '"serving":true' "$(ask "$(operator 1)/status")"

fault () { curl -s -o /dev/null -d "$2" "$1/faults"; }
for broken in garbage_next half_next crossed_next; do
  open_program "$HANMAE" 1
  fault "$(engine_url 1)" "{\"$broken\": 1}"
  fault "$(engine_url 2)" "{\"$broken\": 1}"
  expect "an engine's $broken" 'event: done' \
    "$(ask -X POST "${auth[@]}" -H "X-Galena-Cursor: $CURSOR" -d "$call" "$A/v1/programs/$PROGRAM/calls")"
done
for broken in crossed_next half_next lose_answers; do
  open_program "$HANMAE" 1
  fault "$(service_url)" "{\"$broken\": 1}"
  expect "a service's $broken" '"kind":"outcome_unknown","run":"may_have_run"' \
    "$(ask -X POST "${auth[@]}" -H "X-Galena-Cursor: $CURSOR" -d '{}' "$A/v1/programs/$PROGRAM/tools/seat/x")"
done
[ "$(curl -s "$(service_url)/counts" | jq '[.counts[] | select(. > 1)] | length')" = 0 ] \
  || fail "a call with a lost answer ran twice"
pass "a call with a lost answer ran once"

# A request that crashes its engine takes down two, wherever it is sent again.
open_program "$HANMAE" 1
poison='{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"CRASH-ENGINE"}]}'
for index in 1 2 3 4 5; do
  ask -X POST "${auth[@]}" -H "X-Galena-Cursor: $CURSOR" -d "$poison" \
    "$(caller $index)/v1/programs/$PROGRAM/calls" >"$FLEET_DIR/poison"
  sleep 0.5
done
expect "a request that crashes engines is refused" 'request_crashes_endpoints' \
  "$(cat "$FLEET_DIR/poison")"
crashes=$(for i in 1 2; do curl -s "$(engine_url $i)/v1/load" | jq .crashes; done | paste -sd+ | bc)
[ "$crashes" -le 2 ] || fail "$crashes engines crashed"
pass "it takes down $crashes"

grep -rlE "$HANMAE|$KAJASTE" "$FLEET_DIR"/*.log && fail "a log holds a key"
pass "no log holds a key"
for port in 1 2 3; do
  curl -s "http://127.0.0.1:$((FLEET_BASE_PORT + port))/recorded" >"$FLEET_DIR/recorded-$port"
done
grep -lE "$HANMAE|$KAJASTE" "$FLEET_DIR"/recorded-* && fail "an endpoint saw a key"
grep -q "engine-secret" "$FLEET_DIR/recorded-1" || fail "the engine did not see its credential"
pass "no endpoint saw a caller's key"
finish
