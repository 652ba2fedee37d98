#!/bin/bash
# Checks that every test named in docs/faults/ exists in the test files, and that
# the indexes of docs/ list every page.
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
for page in docs/design/*.md; do
	name=$(basename "$page")
	if [ "$name" != README.md ] && ! grep -q "($name)" docs/design/README.md; then
		echo "docs/design/README.md lacks $name"
		bad=$((bad + 1))
	fi
done
for page in docs/operators/*.md; do
	if ! grep -q "(operators/$(basename "$page"))" docs/OPERATORS.md; then
		echo "docs/OPERATORS.md lacks $page"
		bad=$((bad + 1))
	fi
done
exit $((bad > 0))
