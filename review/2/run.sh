#!/usr/bin/env bash
# Plays the case of claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
script=build/review/case-2.cjs
if [ ! -x target/node ] || [ ! -f "$script" ]; then
  echo "run the build line of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
timeout -k 5 110 target/node "$script" review/2
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
