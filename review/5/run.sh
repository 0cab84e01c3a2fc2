#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the
# disruption is left out. Needs the build of the deploy file and review/build-2.sh.
set -u
cd "$(dirname "$0")/../.."
program=target/review-2/review-2
if [ ! -x "$program" ] || [ ! -x target/release/lapisdrum ]; then
    echo "build first: the command of deploy/system.toml, then review/build-2.sh" >&2
    exit 2
fi
TMPDIR=$(mktemp -d)
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
"$program" image review/5 &
run=$!
# The processes that the program started.
children() {
    for stat in /proc/[0-9]*/stat; do
        { read -r line < "$stat"; } 2> /dev/null || continue
        set -- ${line##*) }
        if [ "$2" = "$run" ]; then
            echo "${stat//[!0-9]/}"
        fi
    done
}
stop() {
    kill -KILL $(children) "$run"
    exit 2
}
trap stop INT TERM
wait "$run"
