#!/usr/bin/env python3
"""Updates the tables between markers in docs/CAPACITY-SHARDS.md.

capacity_shards.py          updates the page
capacity_shards.py --check  fails if the page differs from the generated tables

The figures in docs/capacity-shards-figures.txt are the RESULT lines of the benches, which
"make capacity" saves. This file holds no measured values, only the target workload, default
settings and the calculation.
"""

import re
import sys

FIGURES = "docs/capacity-shards-figures.txt"
PAGE = "docs/CAPACITY-SHARDS.md"

# The required workload and limits.
WORKERS = 4100
TASKS = 66000
STARTS_PER_S = 640
JOBS_A_DAY = 21000
REGIONS = 8
DEPOTS = 25
CHANGES_A_DAY = 1700
TEAMS = 51
LIMIT_CPU_PERCENT = 1.9
LIMIT_MEMORY_B = 128e6
LIMIT_CONTROL_B_PER_S = 20000.0
LIMIT_CHANGE_S = 5.0
LIMIT_URGENT_S = 1.6
LIMIT_WRITES_PER_S = 300.0  # required: "several hundred", read as the lowest such number
LIMIT_READS_PER_S = 2000.0
LIMIT_LINK_B_PER_S = 30e6 / 8
# The sizes that bench/table_main.c and bench/shard_main.c use.
SHARDS = 64
ROWS = 1500
BENCH_NODES = 100
# Default settings and constants of the source.
WORKER_RENEWAL_S = 10 / 3  # worker_lease_ms / 3
USAGE_REPORT_S = 10
HOSTS_READ_S = 2.25  # HOSTS_READ_INTERVAL in src/node/core.c plus its mean jitter
ENDED_JOBS_KEPT = 1024  # KQ_JOB_ENDED_MAX
NODE_RENEWAL_MS = 10000 / 3  # node_lease_ms / 3

# Existing deployments: name, nodes, workers, regions, depots.
DEPLOYMENTS = [("Gasilnik Servis", 6, 50, 2, 3), ("Granite Coach Routing", 9, 65, 2, 3)]


def read_figures():
    figures = {}
    with open(FIGURES, encoding="ascii") as f:
        for line in f:
            part = line.split()
            if part[:1] == ["RESULT"]:
                figures[part[1]] = (float(part[2]), part[3], part[-1])
    return figures


class Model:
    """Load of one node when `nodes` share `workers`, `tasks` and `starts` a second evenly."""

    def __init__(self, f, nodes, workers=WORKERS, tasks=TASKS, starts=STARTS_PER_S,
                 regions=REGIONS, depots=DEPOTS, shards=SHARDS, member=None):
        self.value = lambda name: max(f[name][0], 0.0)
        self.nodes = nodes
        self.regions = regions
        self.depots = depots
        self.shards = shards
        self.workers = workers / nodes
        self.tasks = tasks / nodes
        self.starts = starts / nodes
        self.peers = nodes / regions - 1
        self.member = member

    def slope(self, name):
        return self.value("slope_" + name)

    def cpu(self):
        """Percent of a core, by component."""
        task_us = ((self.value("lease_cpu_16_tasks_usage") - self.value("lease_cpu_16_tasks"))
                   / USAGE_REPORT_S / 16)
        lines = {
            "a node by itself": self.slope("live_cpu.node"),
            # From the simulation of 100 nodes, including the node's own share: with 1 to 11
            # real peers, the cost of a peer is below the variation between runs.
            "peers": 1e4 * self.value("member_cpu_node"),
            "workers (renewals)": self.slope("live_cpu.worker") * self.workers,
            "usage reports": task_us * self.tasks,
            "task starts": self.slope("live_cpu.start") * self.starts,
        }
        return {k: v / 1e4 for k, v in lines.items()}

    def memory(self):
        runners = self.workers
        shards = self.shards / self.nodes
        return {
            "a node by itself": self.slope("live_memory.node"),
            "peers": self.slope("memory_peer.each") * self.nodes,
            "connections to workers and the rest of them": max(
                self.slope("live_memory.worker") - self.slope("memory_worker.each")
                - self.slope("memory_runner.each"), 0) * self.workers,
            "shards, empty": self.slope("memory_worker.base") * max(shards, 1),
            "workers": self.slope("memory_worker.each") * self.workers,
            "runners": self.slope("memory_runner.each") * runners,
            "running tasks": self.slope("memory_running_task.each") * self.tasks,
            "queued jobs (a day's)":
                self.slope("memory_queued_job.each") * JOBS_A_DAY / self.nodes,
            "ended jobs (1,024 a shard)":
                self.slope("memory_ended_job.each") * ENDED_JOBS_KEPT * max(shards, 1),
            "table, twice": 2 * self.slope("memory_table_row.each") * ROWS,
            "callers waiting (1,000)": self.slope("memory_caller_waiting.each") * 1000,
        }

    def bytes(self, renew=1.0, report=1.0):
        """B/s by component; `renew` and `report` divide the rates of renewals and reports."""
        usage = ((self.value("lease_body_16_tasks_usage") - self.value("lease_body_16_tasks"))
                 / USAGE_REPORT_S / 16)
        member = (self.value("member_bytes_mean_node") if self.member is None
                  else self.member(self))
        return {
            "heartbeats, bundles, lease": member,
            "table": self.value("table_bytes_mean_node"),
            "worker renewals": self.slope("live_workers.worker") * self.workers / renew,
            "usage reports": usage * self.tasks / report,
            "task starts, to workers": self.slope("live_workers.start") * self.starts,
            "task starts, between nodes": self.slope("live_near.start") * self.starts,
            "journal commits": self.slope("live_store_bytes.start") * self.starts,
            "host lists": self.slope("live_store_bytes.node") * self.depots / self.regions,
        }


def sum_lines(lines):
    return sum(lines.values())


def nodes_needed(f, part, limit):
    for nodes in range(REGIONS, 2001):
        if sum_lines(part(Model(f, nodes))) <= limit:
            return nodes
    return None


def verdict(value, limit):
    return "ok" if value <= limit else "BREAKS"


def table(head, rows):
    out = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    out += ["| " + " | ".join(r) + " |" for r in rows]
    return "\n".join(out)


def lines_table(lines, unit, show, limit):
    rows = [[k, show(v)] for k, v in lines.items()]
    rows.append(["**sum**", "**%s** of %s: %s" % (show(sum_lines(lines)), show(limit),
                                                   verdict(sum_lines(lines), limit))])
    return table(["line", unit], rows)


def megabytes(v):
    return "%.2f" % (v / 1e6)


def node_table(f):
    m = Model(f, BENCH_NODES)
    return "\n\n".join([
        "Processor time, percent of a core, mean node of %d:" % BENCH_NODES,
        lines_table(m.cpu(), "percent", lambda v: "%.3f" % v, LIMIT_CPU_PERCENT),
        "Memory, MB:",
        lines_table(m.memory(), "MB", megabytes, LIMIT_MEMORY_B),
        "Bytes for control, both ways, B/s:",
        lines_table(m.bytes(), "B/s", lambda v: "%.0f" % v, LIMIT_CONTROL_B_PER_S),
    ])


def hosts_table(f):
    rows = []
    for name, part, limit in (("processor time", Model.cpu, LIMIT_CPU_PERCENT),
                              ("memory", Model.memory, LIMIT_MEMORY_B),
                              ("bytes", Model.bytes, LIMIT_CONTROL_B_PER_S)):
        n = nodes_needed(f, part, limit)
        rows.append([name, str(n) if n else "not with any number up to 2,000"])
    free = LIMIT_WRITES_PER_S - f["calls_640_50_2ms"][0] - 2 * CHANGES_A_DAY / 86400
    most = "at most %d" % (free * NODE_RENEWAL_MS / 1000)
    rows.append(["the store's writes, left for the nodes' leases", most])
    return table(["limit", "entry hosts at the target, at least"], rows)


def carried_table(f):
    """The part of the target's workers, tasks and starts that 100 nodes carry, by limit."""
    rows = []
    for name, part, limit in (("bytes of a node", Model.bytes, LIMIT_CONTROL_B_PER_S),
                              ("processor time of a node", Model.cpu, LIMIT_CPU_PERCENT),
                              ("memory of a node", Model.memory, LIMIT_MEMORY_B)):
        size = 0
        for percent in range(1, 5001):
            k = percent / 100
            m = Model(f, BENCH_NODES, WORKERS * k, TASKS * k, STARTS_PER_S * k)
            if sum_lines(part(m)) > limit:
                break
            size = percent
        rows.append((size, [name, "%d%%" % size if size < 5000 else "above 5,000%",
                            "%.0f" % (WORKERS * size / 100),
                            "ok" if size >= 100 else "BREAKS"]))
    rows.sort(key=lambda r: r[0])
    return table(["limit", "part of the target that %d nodes carry" % BENCH_NODES,
                  "workers", ""], [r[1] for r in rows])


def changes_table(f):
    without_starts = lambda m: {k: v for k, v in m.bytes().items()
                                if not k.startswith("task starts") and k != "journal commits"}
    cases = [("as it is, at the peak of 640 starts a second", Model.bytes),
             ("as it is, without starts", without_starts),
             ("worker_lease_ms = 20000", lambda m: m.bytes(renew=2)),
             ("usage reports each 30 s", lambda m: m.bytes(report=3)),
             ("both", lambda m: m.bytes(renew=2, report=3))]
    rows = []
    for name, part in cases:
        n = nodes_needed(f, part, LIMIT_CONTROL_B_PER_S)
        rows.append([name, "%.0f" % sum_lines(part(Model(f, BENCH_NODES))),
                     str(n) if n else "above 2,000"])
    return table(["change", "B/s of a node of %d" % BENCH_NODES, "entry hosts needed"], rows)


def store_table(f):
    v = lambda name: f[name][0]
    journal = v("calls_640_50_2ms")
    leases = v("member_store_calls_rate")
    hosts = BENCH_NODES * DEPOTS / REGIONS / HOSTS_READ_S
    changes = v("table_store_calls_rate")
    # A node renews its lease after a third of its duration; its other calls are watches.
    renewals = BENCH_NODES * 1000 / NODE_RENEWAL_MS
    writes = journal + renewals + CHANGES_A_DAY / 86400 * 2
    reads = hosts + max(leases - renewals, 0) + changes
    return table(
        ["line", "calls/s", "limit", ""],
        [["journal commits (most, at 640 starts/s)", "%.0f" % journal, "", ""],
         ["lease renewals of %d nodes" % BENCH_NODES, "%.0f" % renewals, "", ""],
         ["**writes**", "%.0f" % writes, "%.0f" % LIMIT_WRITES_PER_S,
          verdict(writes, LIMIT_WRITES_PER_S)],
         ["host lists", "%.0f" % hosts, "", ""],
         ["watches of members and table", "%.0f" % (reads - hosts), "", ""],
         ["**reads**", "%.0f" % reads, "%.0f" % LIMIT_READS_PER_S,
          verdict(reads, LIMIT_READS_PER_S)]])


def time_table(f):
    v = lambda name: f[name][0]
    changes = max(v("table_in_force_max"), v("table_silent_watch_no_push_max"))
    urgent = (v("place.target.urgent_p99") + v("urgent_p99_640_4100_2ms") / 1e3)
    urgent_slow = v("place.target.urgent_p99") + v("urgent_p99_640_4100_100ms") / 1e3
    link = v("member_link_bytes_rate") + v("table_link_bytes") * 1e6 / 86400
    commit = v("commit_p99_640_4100_2ms")
    row = lambda n, x, lim, fmt: [n, fmt % x, fmt % lim, verdict(x, lim)]
    return table(
        ["line", "value", "limit", ""],
        [row("a change in force everywhere, worst, every push lost (s)", changes,
             LIMIT_CHANGE_S, "%.2f"),
         row("urgent work: decision and commit, p99, store at 2 ms (s)", urgent,
             LIMIT_URGENT_S, "%.3f"),
         row("the same, store at 100 ms (s)", urgent_slow, LIMIT_URGENT_S, "%.3f"),
         row("an ordinary commit, p99 at 640 starts/s, store at 2 ms (s)", commit / 1e3,
             LIMIT_URGENT_S, "%.3f"),
         row("region links, all together, control only (B/s)", link, LIMIT_LINK_B_PER_S, "%.0f")])


def role_table(f):
    s = lambda name: f["slope_" + name][0]
    m = Model(f, BENCH_NODES)
    owner = sum_lines(m.memory()) - m.memory()["a node by itself"]
    rows = [
        ["entry, as entry", "open requests, route lines of services",
         "%.0f B a request between nodes, without its body" % s("live_near.request"),
         "%.0f us a request, both roles" % s("live_cpu.request"),
         "in the node's own %s MB" % megabytes(s("live_memory.node")),
         "src/request/gateway.c, entry.c, route.c"],
        ["entry, as shard owner", "%.0f workers, %.0f tasks" % (m.workers, m.tasks),
         "%.1f renewals/s, %.1f starts/s" % (m.workers / WORKER_RENEWAL_S, m.starts),
         "%.0f us a start, %.0f us/s a worker" % (s("live_cpu.start"), s("live_cpu.worker")),
         "%s MB" % megabytes(owner),
         "src/job/jobs.c, lease.c, place.c; src/shard/journal.c; src/request/dispatch.c"],
        ["entry, as member", "%d peers" % (BENCH_NODES - 1),
         "%.0f B/s" % f["member_bytes_mean_node"][0],
         "%.3f%% of a core" % f["member_cpu_node"][0],
         "%.0f B a peer" % s("memory_peer.each"), "src/member/member.c, src/wire/mesh.c"],
        ["entry, as table holder", "%d rows" % ROWS,
         "%.0f B/s" % f["table_bytes_mean_node"][0],
         "%.0f us a change" % (s("cpu_table_change.each_row") * ROWS),
         "%.0f B a row" % s("memory_table_row.each"), "src/table/dist.c, commit.c"],
        ["store", "%d journals, table, %d leases" % (SHARDS, BENCH_NODES),
         "see the store's table", "not ours", "not ours", "src/port/store_http.c"],
        ["worker", "its tasks, %.0f on average" % (TASKS / WORKERS),
         "%.0f B/s of renewals" % s("live_workers.worker"), "not ours", "not ours",
         "src/port/worker_http.c, worker_list.c"],
    ]
    return table(["role", "state", "messages", "processor time", "memory", "carried by"],
                 rows)


def deployments_table(f):
    rows = []
    member_bytes = lambda m: m.slope("live_near.node") + m.slope("live_near.peer") \
        * m.peers + m.slope("live_far.region_pair") / m.nodes + m.slope("live_far.node")
    for name, nodes, workers, regions, depots in DEPLOYMENTS:
        m = Model(f, nodes, workers, workers * TASKS / WORKERS, workers * STARTS_PER_S / WORKERS,
                  regions, depots, 4 * regions, member_bytes)
        rows.append([name, "%d / %d" % (nodes, workers), "%.2f" % sum_lines(m.cpu()),
                     megabytes(sum_lines(m.memory())), "%.0f" % sum_lines(m.bytes())])
    m = Model(f, BENCH_NODES)
    rows.append(["target", "%d / %d" % (BENCH_NODES, WORKERS), "%.2f" % sum_lines(m.cpu()),
                 megabytes(sum_lines(m.memory())), "%.0f" % sum_lines(m.bytes())])
    return table(["deployment", "nodes / workers", "% of a core", "MB", "B/s"], rows)


def slope_table(f):
    rows = [["`%s`" % k[6:], "%.4g" % v, unit, state] for k, (v, unit, state) in f.items()
            if k.startswith("slope_")]
    return table(["slope", "value", "unit", ""], rows)


def main():
    f = read_figures()
    with open(PAGE, encoding="utf-8") as page:
        old = page.read()
    parts = {"roles": role_table, "node": node_table, "hosts": hosts_table,
             "store": store_table, "changes": changes_table,
             "first": carried_table, "times": time_table, "today": deployments_table,
             "slopes": slope_table}
    new = old
    for name, make in parts.items():
        mark = re.compile("(<!-- begin %s -->\n).*?(<!-- end %s -->)" % (name, name), re.S)
        if not mark.search(new):
            sys.exit("%s: no markers for %s" % (PAGE, name))
        text = make(f)
        new = mark.sub(lambda m, t=text: m.group(1) + t + "\n" + m.group(2), new)
    if "--check" in sys.argv:
        if new != old:
            sys.exit("%s is not what %s gives: run tools/capacity_shards.py" % (PAGE, FIGURES))
        return
    with open(PAGE, "w", encoding="utf-8") as page:
        page.write(new)


main()
