#!/usr/bin/env bash
# Invalid input is answered with a typed error, the process keeps running, and no
# key is leaked to logs or endpoints.
BUILD=$1
FLEET_BASE_PORT=22000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet

base_url=$(caller 1)
auth=(-H "Authorization: Bearer $HANMAE")
request () { curl -s -m 20 "$@" || true; }
call='{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]}'

expect "no key" '"kind":"unauthorized","run":"not_run"' "$(request -X POST "$base_url/v1/programs")"
expect "wrong key" '"kind":"unauthorized"' \
  "$(request -X POST -H 'Authorization: Bearer gk_nothing' "$base_url/v1/programs")"
expect "unsupported authorization scheme" '"kind":"unauthorized"' \
  "$(request -X POST -H 'Authorization: Basic eA==' "$base_url/v1/programs")"
expect "unknown path" '"kind":"not_found"' "$(request "${auth[@]}" "$base_url/v1/nothing")"
expect "wrong method" '"kind":"method_not_allowed"' "$(request -X PUT "${auth[@]}" "$base_url/v1/programs")"

open_program "$HANMAE" 1
program_url="$base_url/v1/programs/$PROGRAM"
cursor_header=(-H "X-Galena-Cursor: $CURSOR")
expect "malformed JSON" 'the body is not valid JSON' \
  "$(request -X POST "${auth[@]}" "${cursor_header[@]}" -d '{"model":' "$program_url/calls")"
expect "unknown key" 'unknown key .*colour' \
  "$(request -X POST "${auth[@]}" "${cursor_header[@]}" -d '{"model":"m","messages":[],"colour":1}' "$program_url/calls")"
expect "no model" 'model.* is missing' \
  "$(request -X POST "${auth[@]}" "${cursor_header[@]}" -d '{"messages":[]}' "$program_url/calls")"
expect "no messages" 'at least one message' \
  "$(request -X POST "${auth[@]}" "${cursor_header[@]}" -d '{"model":"m","messages":[]}' "$program_url/calls")"
expect "unknown model is not an engine's" '"kind":"(not_found|endpoint_failed)"|event: done' \
  "$(request -X POST "${auth[@]}" "${cursor_header[@]}" -d "${call/\"m\"/\"zzz\"}" "$program_url/calls")"
open_program "$HANMAE" 1
program_url="$base_url/v1/programs/$PROGRAM"
cursor_header=(-H "X-Galena-Cursor: $CURSOR")
expect "no cursor" 'X-Galena-Cursor is missing' \
  "$(request -X POST "${auth[@]}" -d "$call" "$program_url/calls")"
expect "forged cursor" 'the cursor is not valid here' \
  "$(request -X POST "${auth[@]}" -H 'X-Galena-Cursor: AbCdEf' -d "$call" "$program_url/calls")"
hanmae_cursor=$CURSOR
open_program "$KAJASTE" 1
expect "foreign cursor" 'belongs to another program' \
  "$(request -X POST "${auth[@]}" -H "X-Galena-Cursor: $CURSOR" -d "$call" "$program_url/calls")"
expect "foreign program" '"kind":"(not_found|bad_request)","run":"not_run"' \
  "$(request -X POST "${auth[@]}" -H "X-Galena-Cursor: $hanmae_cursor" -d "$call" "$base_url/v1/programs/$PROGRAM/calls")"
expect "a foreign program cannot be read" '"kind":"not_found"' \
  "$(request "${auth[@]}" "$base_url/v1/programs/$PROGRAM")"
expect "a foreign program cannot be closed" '"kind":"not_found"' \
  "$(request -X DELETE "${auth[@]}" "$base_url/v1/programs/$PROGRAM")"
expect "unknown program" '"kind":"not_found"' \
  "$(request "${auth[@]}" "$base_url/v1/programs/dc-a.AAAAAAAAAAAAAAAAAAAAAA")"
head -c 9000000 /dev/zero >"$FLEET_DIR/large"
expect "oversize body" '"kind":"too_large","run":"not_run"' \
  "$(request -X POST "${auth[@]}" "${cursor_header[@]}" --data-binary "@$FLEET_DIR/large" "$program_url/calls")"
expect "oversize header" '^(431|413|400|000)$' \
  "$(request -o /dev/null -w '%{http_code}' -H "X-Long: $(head -c 20000 /dev/zero | tr '\0' a)" "$base_url/v1/programs")"
expect "unknown route" 'there is no route' \
  "$(request -X POST "${auth[@]}" "${cursor_header[@]}" -d '{}' "$program_url/tools/nothing/x")"
expect "the process keeps running" '"serving":true' "$(request "$(operator 1)/status")"

fault () { curl -s -o /dev/null -d "$2" "$1/faults"; }
for fault_name in garbage_next half_next crossed_next; do
  open_program "$HANMAE" 1
  fault "$(engine_url 1)" "{\"$fault_name\": 1}"
  fault "$(engine_url 2)" "{\"$fault_name\": 1}"
  expect "an engine's $fault_name" 'event: done' \
    "$(request -X POST "${auth[@]}" -H "X-Galena-Cursor: $CURSOR" -d "$call" "$base_url/v1/programs/$PROGRAM/calls")"
done
for fault_name in crossed_next half_next lose_answers; do
  open_program "$HANMAE" 1
  fault "$(service_url)" "{\"$fault_name\": 1}"
  expect "a service's $fault_name" '"kind":"outcome_unknown","run":"may_have_run"' \
    "$(request -X POST "${auth[@]}" -H "X-Galena-Cursor: $CURSOR" -d '{}' "$base_url/v1/programs/$PROGRAM/tools/seat/x")"
done
[ "$(curl -s "$(service_url)/counts" | jq '[.counts[] | select(. > 1)] | length')" = 0 ] \
  || fail "a call with a lost answer was executed twice"
pass "a call with a lost answer was executed once"

# A request that crashes engines crashes at most two of them, whichever host it
# is retried on.
open_program "$HANMAE" 1
poison='{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"CRASH-ENGINE"}]}'
for index in 1 2 3 4 5; do
  request -X POST "${auth[@]}" -H "X-Galena-Cursor: $CURSOR" -d "$poison" \
    "$(caller $index)/v1/programs/$PROGRAM/calls" >"$FLEET_DIR/poison"
  sleep 0.5
done
expect "a request that crashes engines is refused" 'request_crashes_endpoints' \
  "$(cat "$FLEET_DIR/poison")"
crashes=$(for i in 1 2; do curl -s "$(engine_url $i)/v1/load" | jq .crashes; done | paste -sd+ | bc)
[ "$crashes" -le 2 ] || fail "$crashes engines crashed"
pass "it crashed $crashes engines"

# Guards against refusals of which no log tells which host refused what, and why.
expect "a refusal is logged" '"module":"caller","host":"a1","message":"refused: not_found: unknown path .*not_run, GET /v1/nothing, 0 hops' \
  "$(cat "$FLEET_DIR/a1.log")"
expect "a refused call is logged with its program" '"message":"refused: request_crashes_endpoints: .*/calls' "$(cat "$FLEET_DIR"/*.log)"

grep -rlE "$HANMAE|$KAJASTE" "$FLEET_DIR"/*.log && fail "a log contains a key"
pass "no log contains a key"
for port in 1 2 3; do
  curl -s "http://127.0.0.1:$((FLEET_BASE_PORT + port))/recorded" >"$FLEET_DIR/recorded-$port"
done
grep -lE "$HANMAE|$KAJASTE" "$FLEET_DIR"/recorded-* && fail "an endpoint received a key"
grep -q "engine-secret" "$FLEET_DIR/recorded-1" || fail "the engine did not receive its credential"
pass "no endpoint received a caller's key"
finish
