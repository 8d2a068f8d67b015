#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ragwortstep ] && [ -x target/review-3 ] || exit 2
exec target/review-3 target/ragwortstep review/3/record.txt
