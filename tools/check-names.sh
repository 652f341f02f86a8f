#!/usr/bin/env bash
# check-names.sh: fails if a page names a test, source file, page or counter that doesn't
# exist, so that pages follow renames and removals.
set -u
cd "$(dirname "$0")/.."
failed=0
missing () {
  echo "pages: $1 names $2, which is not there"
  failed=1
}
for page in README.md docs/*.md docs/design/*.md; do
  for t in $(grep -oE '\btest_[a-z_]+[a-z]\b' "$page" | sort -u); do
    grep -rqw "$t" src tests platform || missing "$page" "$t"
  done
  for t in $(grep -oE '`[a-z_]+_test`' "$page" | tr -d '`' | sort -u); do
    ls src/*/"$t".c tests/"$t".c platform/"$t".c 2>/dev/null | grep -q . || missing "$page" "$t"
  done
  for f in $(grep -oE '\b(src|platform|soak|deploy|docs|bench|tests|tools|standin|fuzz)/[A-Za-z0-9_./-]+\.(c|h|cc|md|sh|[1-8])\b' "$page" | sort -u); do
    [ -e "$f" ] || missing "$page" "$f"
  done
  for c in $(grep -oE '\bkq_[a-z_]+_total\b' "$page" | sort -u); do
    grep -qw "$c" docs/METRICS.md || missing "$page" "$c"
  done
done
exit $failed
