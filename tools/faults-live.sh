#!/usr/bin/env bash
# faults-live.sh PROGRAM: runs every case of bench/faults_live, four at a time (each has its
# own processes and ports), and prints one row per fault and the numbers of passed and failed
# cases. Exits non-zero only if a case could not be measured.
set -u
prog=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cases=$(LIST=1 "$prog")
printf '%s\n' $cases | xargs -P 4 -I{} sh -c 'CASE={} timeout 120 "$1" >"$2/{}" 2>&1; echo $? >"$2/{}.rc"' _ "$prog" "$dir"
first=1
unmeasured=0
for c in $cases; do
  if [ "$first" = 1 ]; then head -n 1 "$dir/$c"; first=0; fi
  sed -e '1d' -e '/passed, /d' -e '/^RESULT/d' "$dir/$c"
  [ "$(cat "$dir/$c.rc")" = 0 ] || unmeasured=$((unmeasured + 1))
done
failed=$(cat "$dir"/* | grep -c ' FAILED$')
passed=$(cat "$dir"/* | grep -c ' passed$')
echo "$passed passed, $failed failed"
echo "RESULT faults_live_failed $failed cases 0 $([ "$failed" = 0 ] && echo ok || echo short)"
[ "$unmeasured" = 0 ]
