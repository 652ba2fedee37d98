#!/bin/bash
# Checks that every test named in docs/faults/ exists in the test files, and
# prints a TAP line for each table.
set -u
cd "$(dirname "$0")/.."
bad=0
while IFS='`' read -r _ cell _; do
	file=${cell%% *}
	case_path=${cell#* }
	if ! grep -q "\"$case_path\"" "tests/$file.c" 2>/dev/null; then
		echo "docs/faults names a missing test: $cell"
		bad=$((bad + 1))
	fi
done < <(grep -hoE '`test_[a-z_0-9]+ /[^`]+`' docs/faults/*.md)
exit $((bad > 0))
