#!/usr/bin/env bash
# A host that is told to stop, or to reload, before it can handle the signal handles it once it can.
# Guards against the end of a host with the signal's status just after its start.
BUILD=$1
FLEET_BASE_PORT=13000
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"

platform_settings () {
  cat <<SETTINGS
{
  "host": "$1", "data_centre": "dc-a", "role": "$2",
  "caller_listen": "127.0.0.1:$((FLEET_BASE_PORT + 101))",
  "peer_listen": "127.0.0.1:$((FLEET_BASE_PORT + 201))",
  "metrics_listen": "127.0.0.1:$((FLEET_BASE_PORT + 301))",
  "health_listen": "127.0.0.1:$((FLEET_BASE_PORT + 401))",
  "store_address": "127.0.0.1:$FLEET_BASE_PORT", "seeds": ["127.0.0.1:$((FLEET_BASE_PORT + 201))"],
  "data_dir": "$FLEET_DATA_DIR/data-$1",
  "config_within_ms": 2000, "absent_ms": 2500, "stop_grace_s": 8, "first_start": true
}
SETTINGS
}

# signal_early NAME SIGNAL SETTINGS [OPTION...]: starts a host that reads its settings from a pipe, sends it the signal
# while it waits for them, and then gives it the settings
signal_early () {
  local name=$1 signal=$2 settings=$3
  shift 3
  mkfifo "$FLEET_DIR/$name.pipe"
  "$BUILD/galenashored/galenashored" "$@" --settings "$FLEET_DIR/$name.pipe" >"$FLEET_DIR/$name.log" 2>&1 &
  PID=$!
  FLEET_PIDS+=("$PID")
  # Opens once the host has opened the other end.
  exec 7>"$FLEET_DIR/$name.pipe"
  kill -s "$signal" "$PID"
  echo "$settings" >&7 || true
  exec 7>&-
}

# ends_with NAME STATUS
ends_with () {
  local status=0
  wait "$PID" || status=$?
  [ "$status" = "$2" ] || fail "$1 ended with status $status instead of $2"
  pass "$1 ends with status $2"
}

fleet_platform
fleet_settings a1 dc-a 2 no
for signal in TERM INT; do
  signal_early "scheduler-$signal" "$signal" "$(cat "$FLEET_DIR/a1.json")"
  ends_with "scheduler-$signal" 0
  signal_early "entry-$signal" "$signal" "$(platform_settings "entry-$signal" entry)" --on-platform
  ends_with "entry-$signal" 0
  signal_early "keeper-$signal" "$signal" "$(platform_settings "keeper-$signal" keeper)" --on-platform
  ends_with "keeper-$signal" 0
  expect "keeper-$signal stops in order" "received signal" "$(cat "$FLEET_DIR/keeper-$signal.log")"
done
signal_early check TERM "$(platform_settings check entry)" --on-platform --check-settings
ends_with check 0
signal_early reload HUP "$(platform_settings reload entry)" --on-platform
fleet_wait_http "http://127.0.0.1:$((FLEET_BASE_PORT + 301))/metrics"
expect "SIGHUP is handled" "ignoring SIGHUP" "$(cat "$FLEET_DIR/reload.log")"
kill -TERM "$PID"
ends_with reload 0
finish
