#!/usr/bin/env bash
# Plays the deployments that docs/REGRESSION.md names, one after the other, with the users'
# bench (BENCH, a program) on their site files (FOLDER), from the folder it is called in.
#   regression.sh FOLDER        the standard days of each, and days drawn for their rules
# Exits 1 when a gate is failed or a rule is broken.
set -u
folder=${1:?usage: regression.sh FOLDER}
: "${BENCH:?BENCH: the program that plays days}"
jobs=${JOBS_AT_ONCE:-4}
# Site, days drawn, and whether its standard days are scored.
sites='large/gasilnik-rounds-large 8 score
further/tsagaan-intake 40 score
further-grown/tsagaan-intake-grown 8 score
grown/gasilnik-rounds-grown 8 score
grown/granite-routing-grown 8 score
sites/gasilnik-rounds 40 rules
sites/granite-routing 40 rules'
bad=0
play () {
  local out
  out=$("$BENCH" "$@" --jobs "$jobs" --why regression) || bad=1
  printf '%s\n' "$out" | grep -E 'worth|^[a-z]+-[0-9]|GATE|rule broken'
  if printf '%s\n' "$out" | grep -qE 'GATE failed|BROKEN'; then bad=1; fi
}
while read -r site days how; do
  echo "== $site"
  [ "$how" = score ] && play score "$folder/$site.toml"
  play hunt "$folder/$site.toml" --days "$days"
done <<<"$sites"
exit "$bad"
