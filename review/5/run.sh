#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run.
cd "$(dirname "$0")" || exit 2
CS_ROOT=$(cd ../.. && pwd) exec ../bin/review-case reserved-rack
