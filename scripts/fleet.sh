# Starts and stops stand-ins and hosts on this machine, for the demo, the tests
# and the benchmarks.  Source it; every process that it starts ends with the
# shell that sourced it.
# shellcheck shell=bash

FLEET_DIR=${FLEET_DIR:-$(mktemp -d)}
FLEET_DATA_DIR=${FLEET_DATA_DIR:-$FLEET_DIR} # holds the hosts' data folders
FLEET_BASE_PORT=${FLEET_BASE_PORT:-21000}
FLEET_PIDS=()
declare -A FLEET_HOST_PID

fleet_stop () {
  for pid in "${FLEET_PIDS[@]}"; do
    kill -CONT "$pid" 2>/dev/null || true
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ -z "${FLEET_KEEP:-}" ]; then rm -rf "$FLEET_DIR" "$FLEET_DATA_DIR"; fi
}
trap fleet_stop EXIT

# fleet_standin MODE PORT [OPTION...]
fleet_standin () {
  local mode=$1 port=$2
  shift 2
  "$BUILD/standin/standin" --mode "$mode" --port "$port" "$@" \
    2>"$FLEET_DIR/standin-$port.log" &
  FLEET_PIDS+=($!)
}

# fleet_wait_http URL: until something answers there
fleet_wait_http () {
  local i
  for i in $(seq 200); do
    curl -s -o /dev/null "$1" && return 0
    sleep 0.05
  done
  echo "nothing answers at $1" >&2
  return 1
}

fleet_platform () {
  GALENA_PLATFORM=http://127.0.0.1:$FLEET_BASE_PORT
  export GALENA_PLATFORM
  fleet_standin platform "$FLEET_BASE_PORT"
  fleet_wait_http "$GALENA_PLATFORM/stats"
  "$BUILD/galenactl/galenactl" fleet-key >"$FLEET_DIR/fleet.key"
  chmod 600 "$FLEET_DIR/fleet.key"
}

# fleet_settings NAME DC INDEX DATA(yes|no) [EXTRA JSON FIELDS]
# Host INDEX has its callers at BASE+100+INDEX, hosts at +200, operators at +300.
fleet_settings () {
  local name=$1 dc=$2 index=$3 data=$4 extra=${5:-}
  local folder=""
  [ "$data" = yes ] && folder="\"data_dir\": \"$FLEET_DATA_DIR/data-$name\","
  cat >"$FLEET_DIR/$name.json" <<SETTINGS
{
  "host": "$name",
  "data_centre": "$dc",
  "caller_listen": "127.0.0.1:$((FLEET_BASE_PORT + 100 + index))",
  "peer_listen": "127.0.0.1:$((FLEET_BASE_PORT + 200 + index))",
  "operator_listen": "127.0.0.1:$((FLEET_BASE_PORT + 300 + index))",
  $folder $extra
  "platform_url": "$GALENA_PLATFORM",
  "fleet_key_file": "$FLEET_DIR/fleet.key",
  "test_faults": true
}
SETTINGS
}

# fleet_host NAME: starts the host that fleet_settings has prepared
fleet_host () {
  "$BUILD/galenashored/galenashored" --settings "$FLEET_DIR/$1.json" \
    >>"$FLEET_DIR/$1.log" 2>&1 &
  FLEET_HOST_PID[$1]=$!
  FLEET_PIDS+=($!)
}

# fleet_ctl ARGUMENTS...
fleet_ctl () {
  "$BUILD/galenactl/galenactl" "$@"
}

# fleet_key CUSTOMER: prints a fresh key
fleet_key () {
  fleet_ctl --json key create "$1" | jq -r .key
}

# fleet_wait_slots N: until the slots of N data centres all have holders
fleet_wait_slots () {
  local i full
  for i in $(seq 200); do
    full=$(curl -s "$GALENA_PLATFORM/objects?kinds=slots" \
      | jq '[.objects[] | select(.data.holders | all(. != null))] | length')
    [ "$full" = "$1" ] && return 0
    sleep 0.05
  done
  echo "the slots are not all held" >&2
  return 1
}
