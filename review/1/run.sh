#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
export TROUBLE="${TROUBLE:-1}" # 0: without the disruption
cd "$(dirname "$0")/../.." || exit 2
exec target/review-stage -case draining-replica -record review/1/record.txt
