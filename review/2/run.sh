#!/usr/bin/env bash
# More than 500 runs of one executor end while the store of the platform is slow.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 the disruption is
# left out. review/build.sh builds what it needs.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
standin=target/review/release/review_standin
if ! [ -x "$standin" ] || ! [ -x target/release/borageswitch_platformd ]; then
    echo "run review/build.sh first"
    exit 2
fi
folder="$(mktemp -d)" || exit 2
calm=()
[ "${TROUBLE:-1}" = 0 ] && calm=(--calm)
# The limit ends a scenario that hangs.
timeout -s KILL 110 "$standin" ends --repository . --folder "$folder" --record "$here/record.txt" "${calm[@]}" &
main=$!
running=yes
finish() {
    [ -n "$running" ] && kill -TERM "$main" 2>/dev/null && wait "$main"
    # Daemons that still run; empty after an orderly end.
    for id in $(cat "$folder/pids" 2>/dev/null); do kill -KILL "$id"; done
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
wait "$main"
result=$?
running=
[ "$result" -le 2 ] || result=2
exit "$result"
