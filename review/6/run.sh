#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/borageswitch_platformd target/review-2/release/review_standin_2; do
    [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-2.sh"; exit 2; }
done
exec target/review-2/release/review_standin_2 lasting-gang review/6/record.txt
