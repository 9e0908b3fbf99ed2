#!/usr/bin/env bash
# A draining endpoint gets no new calls; calls avoid an unavailable one.
BUILD=$1
FLEET_BASE_PORT=16000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet
served_calls () { curl -s "$(engine_url "$1")/v1/load" | jq .served; }
call='{"model":"m","max_tokens":2,"messages":[{"role":"user","content":"x"}]}'

# call_all_hosts: opens 20 programs on all hosts in turn, with one call each
call_all_hosts () {
  local i answer
  for i in $(seq 20); do
    open_program "$HANMAE" $((i % 5 + 1))
    answer=$(curl -s -X POST -H "Authorization: Bearer $HANMAE" -H "X-Galena-Cursor: $CURSOR" \
      -d "$call" "$(caller $((i % 5 + 1)))/v1/programs/$PROGRAM/calls")
    grep -q 'event: done' <<<"$answer" || fail "no answer: $answer"
  done
}

call_all_hosts
[ "$(served_calls 1)" -gt 0 ] && [ "$(served_calls 2)" -gt 0 ] || fail "an engine got no calls"
pass "both engines are used"
fleet_ctl drain endpoint e1 >/dev/null
fleet_ctl wait >/dev/null
before=$(served_calls 1)
call_all_hosts
[ "$(served_calls 1)" = "$before" ] || fail "the draining engine got a call"
pass "the draining engine gets no new calls"
fleet_ctl endpoint set e1 leaving=false >/dev/null
fleet_ctl wait >/dev/null
curl -s -o /dev/null -d '{"outage_ms": 600000}' "$(engine_url 2)/faults"
call_all_hosts
pass "no call is lost while an engine is unavailable"
finish
