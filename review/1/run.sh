#!/usr/bin/env bash
# Case 1. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves both disruptions out, TROUBLE=late the kill, TROUBLE=kill the lost answer.
set -u
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
{ [ -x target/release/lapisdrum ] && [ -x target/review/release/review-standin ]; } || bash review/build.sh >&2 || exit 2
export TROUBLE=${TROUBLE:-1}
exec timeout --signal=TERM --kill-after=2 112 target/review/release/review-standin late-pointer "$here/record.txt"
