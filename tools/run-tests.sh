#!/usr/bin/env bash
# run-tests.sh PROGRAM...: runs the test programs, eight at a time, prints the output of those
# that fail, and ends with one line 'N passed, N failed'. A program that crashes or runs for
# more than 240 s counts as one failure. Failures of programs that KNOWN-RED.txt names are
# printed and not counted.
set -u
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
run_one () {
  out="$2/$(echo "$1" | tr / _)"
  timeout 240 "$1" >"$out" 2>&1
  echo "$?" >"$out.rc"
}
export -f run_one
printf '%s\n' "$@" | xargs -P 8 -I{} bash -c 'run_one "$@"' _ {} "$dir"
passed=0
failed=0
for t in "$@"; do
  out="$dir/$(echo "$t" | tr / _)"
  p=$(grep -aoE '^\[  PASSED  \] [0-9]+' "$out" | awk '{n += $4} END {print n + 0}')
  f=$(grep -aoE '^\[  FAILED  \] [0-9]+ test' "$out" | awk '{n += $4} END {print n + 0}')
  rc=$(cat "$out.rc" 2>/dev/null || echo 255)
  if [ "$rc" -ne 0 ] && [ "$f" -eq 0 ]; then f=1; fi
  if [ "$f" -gt 0 ] && [ -s KNOWN-RED.txt ] && grep -q "^$(basename "$t"):" KNOWN-RED.txt; then
    echo "known red: $(grep "^$(basename "$t"):" KNOWN-RED.txt)"
    f=0
  fi
  if [ "$f" -gt 0 ]; then
    echo "--- $t (exit $rc)"
    tail -n 60 "$out"
  fi
  passed=$((passed + p))
  failed=$((failed + f))
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ] && [ "$passed" -gt 0 ]
