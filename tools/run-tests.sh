#!/usr/bin/env bash
# run-tests.sh PROGRAM...: runs the test programs, eight at a time, and then those named
# *_crowd_test, one at a time. Prints the output of those that fail, and ends with one line 'N passed, N failed'. A program that crashes or runs for
# more than 240 s counts as one failure. A failed test that has a line "PROGRAM: TEST ..." in
# KNOWN-RED.txt is printed and not counted.
set -u
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
run_one () {
  out="$2/$(echo "$1" | tr / _)"
  timeout 240 "$1" >"$out" 2>&1
  echo "$?" >"$out.rc"
}
export -f run_one
printf '%s\n' "$@" | grep -v '_crowd_test$' | xargs -P 8 -I{} bash -c 'run_one "$@"' _ {} "$dir"
printf '%s\n' "$@" | grep '_crowd_test$' | xargs -P 1 -I{} bash -c 'run_one "$@"' _ {} "$dir"
passed=0
failed=0
for t in "$@"; do
  out="$dir/$(echo "$t" | tr / _)"
  p=$(grep -aoE '^\[  PASSED  \] [0-9]+' "$out" | awk '{n += $4} END {print n + 0}')
  f=$(grep -aoE '^\[  FAILED  \] [0-9]+ test' "$out" | awk '{n += $4} END {print n + 0}')
  rc=$(cat "$out.rc" 2>/dev/null || echo 255)
  if [ "$rc" -ne 0 ] && [ "$f" -eq 0 ]; then f=1; fi
  for name in $(grep -aoE '^\[  FAILED  \] test_[a-z0-9_]+' "$out" | awk '{print $4}' | sort -u); do
    if grep -qE "^$(basename "$t"): $name( |\$)" KNOWN-RED.txt; then
      echo "known red: $(grep -E "^$(basename "$t"): $name( |\$)" KNOWN-RED.txt)"
      f=$((f - 1))
    fi
  done
  if [ "$f" -gt 0 ]; then
    echo "--- $t (exit $rc)"
    tail -n 60 "$out"
  fi
  passed=$((passed + p))
  failed=$((failed + f))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
