#!/usr/bin/env bash
# metrics.sh: prints docs/METRICS.md. Counters and histograms are read from the calls of
# kq_counter and kq_histogram in src, metrics of the ports from src/port/meter.c, refusal and
# retry reasons from docs/RESULTS.md.
set -eu
export LC_ALL=C
cd "$(dirname "$0")/.."

# Prints name|labels|help|file for each kq_counter call whose name is a literal. Labels that
# aren't a literal are shown as "`peers`" in the page. A call of another form is an error.
counters () {
  for f in $(ls src/*/*.c | grep -v -e _test.c -e base/counter.c -e base/histogram.c -e port/meter.c); do
    tr '\n' ' ' <"$f" | sed 's/  */ /g' | grep -o 'kq_counter ([^;]*;' \
      | sed -E "s|^kq_counter \([^,]*, \"([a-z_]+)\", (\"([^\"]*)\"\|[a-z_]+), \"([^\"]*)\"\);|\1\|\2\|\4\|$f|" || true
  done | sort
}
if counters | grep 'kq_counter (' >&2; then
  echo "metrics.sh: a call it can't read" >&2
  exit 1
fi

# Prints name|help|file for each kq_histogram call.
histograms () {
  for f in $(ls src/*/*.c | grep -v -e _test.c -e base/histogram.c); do
    tr '\n' ' ' <"$f" | sed 's/  */ /g' | grep -o 'kq_histogram ([^;]*;' \
      | sed -nE "s|^kq_histogram \([^,]*, \"([a-z_]+)\", \"\", \"([^\"]*)\"\);|\1\|\2\|$f|p" || true
  done | sort
}

# Prints name|label|help for each counter of meter.c; every port has one set of them.
meters () {
  tr '\n' ' ' <src/port/meter.c | sed 's/  */ /g' | grep -o 'counter (m, "[^;]*;' \
    | sed -nE 's|^counter \(m, "([a-z_]+)", ("([a-z]+)"\|NULL), [^"]*("[^"]*", )?"([^"]*)"\);|\1\|\3\|\5|p' \
    | sort -u
}

cat <<'TEXT'
# Metrics

Written by `tools/metrics.sh` from the source; `make pages` renews it, `make check`
compares it. `GET /metrics` on the operators' address prints all counters of a node in the usual
text form; the same bearer token is wanted as for other questions. They count from the
start of the process; none is ever set back.

## Counters

| name | labels | meaning | file |
| --- | --- | --- | --- |
TEXT
counters | awk -F'|' '{l = $2 == "\"\"" ? "" : $2 ~ /^"/ ? "`" $2 "`" : "`peers`"; printf "| `%s` | %s | %s | %s |\n", $1, l, $3, $4}'
histograms | awk -F'|' '{printf "| `%s_bucket`, `%s_sum` | `le` | %s | %s |\n", $1, $1, $2, $3}'
meters | awk -F'|' '{for (i = 0; i < 2; i++) printf "| `kq_%s_%s` | `kind`%s | %s | src/port/meter.c |\n", i ? "worker" : "store", $1, $2 == "" ? "" : ", `" $2 "`", $3}' | sort
cat <<'TEXT'
| `kq_results_total` | `code`, `name` | Refusals, retries and faults by result | src/base/counter.c |

`kind` of a store call: `get`, `put`, `delete`, `list`, `lease_grant`, `lease_renew`,
`lease_revoke`, `watch`, `hosts`; of a worker call: `lease`, `start`, `stop`,
`checkpoint`, `throttle`. `le` is a bound in milliseconds; buckets are cumulative. `peers` of the mesh's bytes is `near` or `far`: of this
region or of others.

## Refusal and retry reasons

Every refusal, retry and fault adds one to `kq_results_total` under its number. A line
appears with its first count. Where they are counted:

- At the entry node: what its callers were refused (6xx, 7xx, 8xx), each try that failed,
  and 640 or 641 for each request that was tried again.
- At the owner: each request that it refused or that failed at a runner, before the entry
  node hears of it. So a refusal at an owner stands twice in the sum over all nodes. What
  callers finally got stands in `kumquatctl account`; these counters say why.
- At the owner of a job's shard: 640 (a start that was refused) and 740 to 742 for each attempt that will
  be repeated.
- In the ports and the mesh: 2xx and 3xx for each connection or call that failed.

| code | name | what it counts |
| --- | --- | --- |
TEXT
awk -F' \\| ' '/^\| [1-9]/ {sub(/^\| /, "", $1); sub(/ \|$/, "", $4); printf "| %s | %s | %s |\n", $1, $2, $4}' docs/RESULTS.md
