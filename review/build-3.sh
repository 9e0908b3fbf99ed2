#!/bin/sh
# Builds what the scripts of the cases 11 to 15 start, into target/review-3/.
# To be run after the build of deploy/system.toml; it needs the same packages.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
packages="libcurl glib-2.0 jansson libmicrohttpd libsodium libxxhash zlib"
cflags="-std=gnu11 -O1 -D_GNU_SOURCE -DGALENA_VERSION=\"review\" -fno-strict-aliasing -Iinclude"

# The project's stand-in of the platform's store.
cc $cflags $(pkg-config --cflags $packages) -o "$out/standin" \
  standin/endpoint.c standin/engine.c standin/main.c standin/objects.c \
  standin/platform.c standin/service.c common/*.c \
  $(pkg-config --libs $packages) -lck -lev -lm -lpthread

for number in 11 12 13 14 15; do
  test -e "review/$number/case.c" || continue
  cc $cflags -Itest/fleet -o "$out/case-$number" \
    "review/$number/case.c" test/fleet/rig.c -lpthread
done
