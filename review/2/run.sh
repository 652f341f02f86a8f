#!/bin/sh
# Case 2: the answers to a job's writes are lost, the writes are carried out late, and the
# client cancels the job meanwhile. TROUBLE=0: no answer is lost. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
record=review/2/record.txt
: > "$record" || exit 2
[ -x target/kumquatd ] && [ -x target/review-fleet ] || exit 2
dir=$(mktemp -d) || exit 2
timeout -k 5 110 target/review-fleet cancel target/kumquatd "$dir" "$record" "${TROUBLE:-1}" \
  > "$dir/stand-ins.out" 2>&1
code=$?
rm -rf "$dir"
[ "$code" -le 1 ] || code=2
exit "$code"
