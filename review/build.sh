#!/bin/sh
# Builds the stand-ins and the programs of the review's scripts into
# target/review.  To be run after the build of the deploy file; it needs the
# packages that the deploy file names, and no network.
set -eu
cd "$(dirname "$0")/.."

out=target/review
mkdir -p "$out"
flags="-std=gnu11 -D_GNU_SOURCE -O1 -g -Wall -Wextra -Wno-unused-parameter \
 -Wno-missing-field-initializers"
libraries="glib-2.0 jansson libmicrohttpd libsodium libcurl libprotobuf-c \
 libxxhash zlib ck"

# shellcheck disable=SC2086,SC2046
cc $flags -Iinclude $(pkg-config --cflags $libraries) -o "$out/standin" \
  standin/endpoint.c standin/engine.c standin/main.c standin/objects.c \
  standin/platform.c standin/service.c target/common/libgalena-common.a \
  $(pkg-config --libs $libraries) -lev -lm -lpthread
for source in review/[1-5]/*.c; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  # shellcheck disable=SC2086
  cc $flags -Ireview/rig -o "$out/$(basename "$source" .c)-$number" \
    "$source" review/rig/rig.c -lpthread
done
