#!/bin/sh
# Runs clang-tidy and cppcheck over the product's sources.  cppcheck does not
# see into the macros of jansson and protobuf-c, so it gets plain ones.
# Usage: lint.sh BUILD
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}

files=$(git ls-files 'common/*.c' 'policy/*.c' 'peer/*.c' 'platform/*.c' 'request/*.c' 'ledger/*.c' 'conversation/*.c' 'feed/*.c' 'config/*.c' 'journal/*.c' \
  'endpoint/*.c' 'store/*.c' 'program/*.c' 'caller/*.c' 'operator/*.c' \
  'galenashored/*.c' 'galenactl/*.c' 'standin/*.c' 'soak/*.c' 'bench/*.c' \
  | grep -v '\.pb-c\.c$')
# shellcheck disable=SC2086
printf '%s\n' $files | xargs -P "${JOBS:-6}" -n 4 clang-tidy -p "$build" --quiet
# shellcheck disable=SC2086
cppcheck --quiet --error-exitcode=1 --std=c11 -j "${JOBS:-6}" \
  --enable=warning,performance,portability --inline-suppr \
  --suppress=missingIncludeSystem -I include -D_GNU_SOURCE \
  --include=scripts/lint_macros.h \
  $files
