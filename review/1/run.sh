#!/usr/bin/env bash
# A call that stores a snapshot gets no response and is executed late, then the leader is killed.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
standin=target/review/release/review_standin
[ -x "$standin" ] && [ -x target/release/borageswitch_platformd ] || { echo "run review/build.sh first"; exit 2; }
folder="$(mktemp -d)" || exit 2
calm=()
[ "${TROUBLE:-1}" = 0 ] && calm=(--calm)
"$standin" late --repository . --folder "$folder" --record "$here/record.txt" "${calm[@]}" &
main=$!
finish() {
    kill -KILL "$main" $(cat "$folder/pids" 2>/dev/null) 2>/dev/null
    rm -rf "$folder"
}
trap finish EXIT
trap 'exit 2' INT TERM
# Ends a scenario that hangs.
(sleep 110 && kill -KILL "$main") 2>/dev/null &
guard=$!
wait "$main"
result=$?
kill "$guard" 2>/dev/null
[ "$result" -le 2 ] || result=2
exit "$result"
