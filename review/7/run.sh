#!/usr/bin/env bash
# Runs the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
target/review-2/cases gang review/7
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
