#!/usr/bin/env bash
# Moves a route between two services while the store does not answer three machines of one zone.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.." || exit 2
exec target/review-3/stand3 config review/11/record.txt
