#!/usr/bin/env bash
# Checks a model, and that the search detects every fault injected with -DFAULT_...
# Usage: check.sh MODEL.pml
set -euo pipefail
model=$(cd "$(dirname "$1")" && pwd)/$(basename "$1")
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
cp "$model" "$work/"
model=$(basename "$model")
cd "$work"

# verify [FAULT]: prints the number of errors that the search finds
verify () {
  spin ${1:+-D$1} -a "$model" >spin.log
  cc -O2 -w -DSAFETY -DNOFAIR -DCOLLAPSE -DVECTORSZ=4096 -o pan pan.c
  ./pan -E -m200000 >pan.log
  if grep -q "max search depth too small\|out of memory" pan.log; then
    echo "the search of $model is incomplete" >&2
    exit 1
  fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' pan.log
}

passed=0
errors=$(verify)
states=$(sed -n 's/ *\([0-9]*\) states, stored.*/\1/p' pan.log)
if [ "$errors" != 0 ]; then
  echo "$(basename "$model"): FAILED, see the trace:" >&2
  spin -t -p "$model" | tail -60 >&2
  exit 1
fi
passed=$((passed + 1))
echo "$(basename "$model"): holds in $states states"
for fault in $(sed -n 's/.*-D\(FAULT_[A-Z_]*\).*/\1/p; ' "$model" | sort -u) \
  $(grep -o 'FAULT_[A-Z_]*' "$model" | sort -u); do
  [ -e "seen-$fault" ] && continue
  touch "seen-$fault"
  if [ "$(verify "$fault")" = 0 ]; then
    echo "$(basename "$model"): injected fault $fault was NOT detected" >&2
    exit 1
  fi
  passed=$((passed + 1))
  echo "$(basename "$model"): injected fault $fault is detected"
done
echo "$passed passed, 0 failed"
