#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/bin/csentryd ] && [ -x target/review/cases-3 ] || exit 2
exec env TROUBLE="${TROUBLE:-1}" target/review/cases-3 long "$folder/record.txt"
