#!/usr/bin/env bash
# A leader freezes for 4 s while it drains a machine of a wave; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-cases ] || [ ! -x target/kumquatd ]; then
  echo "run review/build-2.sh first"
  exit 2
fi
target/review-cases freeze review/5/record.txt
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
