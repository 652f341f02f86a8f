#!/usr/bin/env bash
# fuzz.sh FOLDER SECONDS NAME...: runs the fuzzers one after the other, SECONDS each, from
# the committed corpus. Inputs that cover new code go to FOLDER/found/NAME, failing inputs to
# FOLDER/broke. Prints one line for each fuzzer and exits non-zero if any input failed.
set -u
folder=$1
seconds=$2
shift 2
broken=0
mkdir -p "$folder/broke"
for name in "$@"; do
  mkdir -p "$folder/found/$name"
  log="$folder/$name.log"
  "$folder/$name" -max_total_time="$seconds" -max_len=4096 -timeout=10 -rss_limit_mb=2048 \
    -print_final_stats=1 -artifact_prefix="$folder/broke/$name-" \
    "$folder/found/$name" "fuzz/corpus/$name" >"$log" 2>&1
  rc=$?
  runs=$(awk '/stat::number_of_executed_units/ {print $2}' "$log")
  if [ "$rc" -eq 0 ]; then
    echo "fuzz $name: ${runs:-0} inputs in $seconds s, nothing broke"
  else
    echo "fuzz $name: BROKE after ${runs:-?} inputs (exit $rc), see $log"
    grep -E 'ERROR|doesn.t hold|SUMMARY|Test unit' "$log" | head -5
    broken=1
  fi
done
exit $broken
