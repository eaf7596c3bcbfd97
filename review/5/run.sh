#!/usr/bin/env bash
# The open channels to the store go silent, and a worker leaves.
# TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}"
for needed in target/monsoonpath-platform.jar target/review/rig/SilentStoreCase.class; do
  [ -f "$needed" ] || { echo "$needed is missing: run the line 'build' of deploy/system.toml and review/build.sh"; exit 2; }
done
timeout 115 java -cp target/review rig.SilentStoreCase . review/5/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
