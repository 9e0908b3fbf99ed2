#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2.
set -eu
cd "$(dirname "$0")/.."

flags="-std=gnu11 -D_GNU_SOURCE -O1 -g -Wall"
mkdir -p target/review-2
for source in review/rig-2/*.c; do
  name=$(basename "$source" .c)
  [ "$name" != rig ] || continue
  # shellcheck disable=SC2046,SC2086
  "${CC:-cc}" $flags $(pkg-config --cflags jansson) -o "target/review-2/$name" \
    "$source" review/rig-2/rig.c -pthread $(pkg-config --libs jansson)
done
