#!/usr/bin/env bash
# Injects one kind of failure under load and checks that programs stay complete
# and in order, and that no tool call is executed twice.
# Usage: faults.sh BUILD KIND PORT
BUILD=$1
FLEET_BASE_PORT=$3
# shellcheck source=test/functional/lib.sh
. "$(dirname "$0")/lib.sh"
start_fleet
start_load --programs 40
sleep 1

platform_fault () { curl -s -o /dev/null -d "$1" "$GALENA_PLATFORM/faults"; }
partition_hosts () { block 1 2 -- b1 b2 c1; block 3 4 5 -- a1 a2; }

case $2 in
  kill)
    kill -KILL "${FLEET_HOST_PID[a2]}"; sleep 2; fleet_host a2; sleep 1
    kill -KILL "${FLEET_HOST_PID[b1]}"; sleep 1; fleet_host b1 ;;
  pause)
    kill -STOP "${FLEET_HOST_PID[a1]}"; sleep 4; kill -CONT "${FLEET_HOST_PID[a1]}" ;;
  outage)
    platform_fault '{"outage_ms": 3000}'; sleep 3 ;;
  lost)
    for _ in 1 2 3 4; do platform_fault '{"lose_answers": 4}'; sleep 0.5; done ;;
  partition)
    partition_hosts; sleep 3; UNBLOCK=1 partition_hosts ;;
  outage-kill)
    platform_fault '{"outage_ms": 3000}'; sleep 0.5
    kill -KILL "${FLEET_HOST_PID[a2]}"; sleep 1; fleet_host a2; sleep 2 ;;
  partition-pause)
    partition_hosts; kill -STOP "${FLEET_HOST_PID[b2]}"; sleep 3
    kill -CONT "${FLEET_HOST_PID[b2]}"; UNBLOCK=1 partition_hosts ;;
  *) fail "unknown failure kind $2" ;;
esac
check_load
finish
