#!/usr/bin/env bash
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/cyclamenspool ] && [ -x build/review-2/case8 ] || exit 2
timeout -k 5 110 build/review-2/case8 review/8/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
