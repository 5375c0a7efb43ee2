#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/almondflow-entry ] && [ -x target/review-world3 ] || exit 2
exec target/review-world3 odd-drain review/12/record.txt
