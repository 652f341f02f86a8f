#!/usr/bin/env bash
# A configuration adds the queue `checks`, whose steps need advice; see claim.txt.
# TROUBLE=0: the same without that configuration.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/review-advice ] || [ ! -x target/kumquatd ]; then
  echo "run review/build-3.sh first"
  exit 2
fi
target/review-advice checks review/11/record.txt "${TROUBLE:-1}" >/dev/null
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
