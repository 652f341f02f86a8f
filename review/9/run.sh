#!/usr/bin/env bash
# A burst of jobs on a queue whose steps need advice; see claim.txt. TROUBLE=0: the same
# without the burst.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-advice ] || [ ! -x target/kumquatd ]; then
  echo "run review/build-3.sh first"
  exit 2
fi
target/review-advice burst review/9/record.txt "${TROUBLE:-1}" >/dev/null
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
