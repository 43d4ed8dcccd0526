#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -uo pipefail
# TROUBLE=0 leaves the disruption out.
export TROUBLE="${TROUBLE:-1}"
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.."
if [ ! -x target/savorypin ] || [ ! -x target/review-standin ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
exec target/review-standin resumed target/savorypin "$here/record.txt"
