#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/hornbeamrail ] && [ -x target/review-2/worker ] && [ -x target/review-2/case-9 ] || exit 2
REVIEW_SCRATCH=$(mktemp -d) || exit 2
export REVIEW_SCRATCH
# `timeout` leads a process group of its own, in which all processes of the case are.
timeout -k 5 110 target/review-2/case-9 "${TROUBLE:-1}" &
group=$!
end_all() {
  kill -KILL -- "-$group" 2>/dev/null
  rm -rf "$REVIEW_SCRATCH"
}
trap end_all EXIT
trap 'exit 2' TERM INT HUP
wait "$group"
status=$?
[ $status -le 1 ] || status=2
exit $status
