#!/bin/sh
# Formats the sources, or with --check tells which are not formatted.
# Generated code is left alone.
set -eu
cd "$(dirname "$0")/.."

files=$(git ls-files --cached --others --exclude-standard '*.c' '*.h' '*.cpp' \
  | grep -v '\.pb-c\.[ch]$')
if [ "${1:-}" = --check ]; then
  # shellcheck disable=SC2086
  clang-format --dry-run --Werror $files
else
  # shellcheck disable=SC2086
  clang-format -i $files
fi
