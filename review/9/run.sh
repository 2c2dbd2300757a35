#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hornbeamrail ] && [ -x target/review-2/case-9 ] || exit 2
timeout -k 5 110 target/review-2/case-9 "${TROUBLE:-1}"
status=$?
[ $status -le 1 ] || status=2
exit $status
