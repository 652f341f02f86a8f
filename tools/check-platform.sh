#!/usr/bin/env bash
# check-platform.sh: fails if names of the deployment platform's protocol occur outside
# platform/, deploy/, the stand-ins and the tests.
set -u
cd "$(dirname "$0")/.."
names='run-start|run-stop|kv-txn|kv-range|kv-watch|kv-keep|kv-lease-end|machine-upkeep'
names="$names|machine-move|hold_max_ms|last_seen|gang_ms|far_x|may_miss|expiry_ms"
names="$names|max_per_server|op/config|servers/|Target-Instance|admission_check|colocate"
found=$(git grep -nE "$names" -- '*.c' '*.h' '*.cc' ':!platform' ':!deploy' ':!standin' \
  ':!tests' ':!*_test.c')
[ -z "$found" ] && exit 0
echo "the platform's names outside platform/ and deploy/:"
echo "$found"
exit 1
