#!/usr/bin/env bash
# Plays the case departed-replica: exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruptions out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/stand2 ] && [ -x target/hornbeamlockd ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-2/stand2 -case departed-replica -trouble="$trouble" -record review/10/record.txt
