#!/usr/bin/env bash
# regression.sh FOLDER: plays the deployments of docs/REGRESSION.md, one after the other, in
# the current folder. FOLDER holds their site files; BENCH is the users' program that plays
# days. Plays the standard days of each deployment, and random days that check the rules.
# Exits with 1 if a gate fails or a rule is broken.
set -u
folder=${1:?usage: regression.sh FOLDER}
: "${BENCH:?BENCH: the program that plays days}"
jobs=${JOBS_AT_ONCE:-4}
# Site, number of random days, and "score" if its standard days are scored.
sites='large/gasilnik-rounds-large 8 score
further/tsagaan-intake 40 score
further-grown/tsagaan-intake-grown 8 score
grown/gasilnik-rounds-grown 8 score
grown/granite-routing-grown 8 score
sites/gasilnik-rounds 40 rules
sites/granite-routing 40 rules'
failed=0
play () {
  local out
  out=$("$BENCH" "$@" --jobs "$jobs" --why regression) || failed=1
  printf '%s\n' "$out" | grep -E 'worth|^[a-z]+-[0-9]|GATE|rule broken'
  if printf '%s\n' "$out" | grep -qE 'GATE failed|BROKEN'; then failed=1; fi
}
while read -r site days how; do
  echo "== $site"
  [ "$how" = score ] && play score "$folder/$site.toml"
  play hunt "$folder/$site.toml" --days "$days"
done <<<"$sites"
exit "$failed"
