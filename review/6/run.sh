#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption, and must exit with 0.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
standin=target/review-2/release/review_standin_2
for program in target/release/borageswitch_platformd "$standin"; do
    [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-2.sh"; exit 2; }
done
PIDS="$(mktemp)" || exit 2
export PIDS
"$standin" lasting-gang review/6/record.txt &
main=$!
# Ends what still runs if the script is interrupted.
stop() {
    kill -KILL "$main" $(cat "$PIDS") 2>/dev/null
    rm -f "$PIDS"
    exit 2
}
trap stop INT TERM HUP
wait "$main"
result=$?
rm -f "$PIDS"
[ "$result" -le 2 ] || result=2
exit "$result"
