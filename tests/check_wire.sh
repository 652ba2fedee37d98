#!/bin/bash
# Checks that only platform/ contains names of the users' platform's protocol.
set -u
cd "$(dirname "$0")/.."
names='AckCursor|UntilMs|ExpectedRev|SetKeys|rows-tx|rows-feed|run-start|run-stop'
names+='|HoldMaxMs|ReclaimMs|ColdLeftMs|Expect-Instance|corianderstep/(hold|readyz)'
found=$(grep -rlE "$names" --include='*.[ch]' base store config link shared \
	request job sched entry daemon lib client cli bench examples)
[ -z "$found" ] && exit 0
echo "names of the platform's protocol outside platform/: $found"
exit 1
