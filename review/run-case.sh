#!/usr/bin/env bash
# Runs the case of a folder. Usage: review/run-case.sh NUMBER. TROUBLE=0 leaves the disruption out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")/.." || exit 2
number=$1
program=target/review/case-$number
[ -x "$program" ] && [ -x target/hornbeamrail ] || { echo "not built: run the build of the deploy file and review/build.sh"; exit 2; }
scratch=$(mktemp -d) || exit 2
export PID_FILE=$scratch/pids
end_all() {
  # Only processes that this case started and that are still there.
  [ -e "$PID_FILE" ] && while read -r id; do
    case "$({ tr '\0' ' ' <"/proc/$id/cmdline"; } 2>/dev/null)" in
      target/hornbeamrail\ serve-site*|"$program"*) kill -KILL "$id" 2>/dev/null ;;
    esac
  done <"$PID_FILE"
  rm -rf "$scratch"
}
trap end_all EXIT
timeout -k 2 117 "$program" "review/$number" "$scratch"
status=$?
case $status in 0|1) exit "$status" ;; *) exit 2 ;; esac
