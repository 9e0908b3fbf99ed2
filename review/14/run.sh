#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run.  TROUBLE=0 leaves the disruption out.  Needs the build of the deploy
# file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
RIG_DAEMON=target/galenashored/galenashored
RIG_STANDIN=target/review-3/standin
RIG_LIMIT_S=115
export RIG_DAEMON RIG_STANDIN RIG_LIMIT_S
test -x "$RIG_DAEMON" && test -x "$RIG_STANDIN" || exit 2
exec target/review-3/case-14 review/14/record.txt
