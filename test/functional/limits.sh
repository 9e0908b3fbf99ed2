#!/usr/bin/env bash
# A customer's rate and burst limits apply to all hosts together.
BUILD=$1
FLEET_BASE_PORT=20000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet
fleet_ctl customer set small template=agents rate_per_minute=600 burst=12 >/dev/null
SMALL=$(fleet_key small)
fleet_ctl wait >/dev/null

now_ms () { date +%s%3N; }
started=$(now_ms)
for index in 1 2 3 4 5; do
  for _ in $(seq 60); do
    curl -s -o /dev/null -w '%{http_code}\n' -H "Authorization: Bearer $SMALL" \
      "$(caller $index)/v1/services/public/x"
  done >"$FLEET_DIR/codes-$index" &
  pids[index]=$!
done
wait "${pids[@]}"
ended=$(now_ms)
admitted=$(cat "$FLEET_DIR"/codes-* | grep -c '^200$' || true)
refused=$(cat "$FLEET_DIR"/codes-* | grep -c '^429$' || true)
allowed=$((12 + 600 * (ended - started + 999) / 60000 + 1))
[ $((admitted + refused)) = 300 ] || fail "unexpected statuses: $(sort "$FLEET_DIR"/codes-* | uniq -c)"
[ "$admitted" -le "$allowed" ] || fail "$admitted admitted, $allowed allowed"
[ "$admitted" -ge 12 ] || fail "only $admitted admitted, though the burst is 12"
pass "$admitted of 300 admitted, $allowed allowed"
finish
