#!/usr/bin/env python3
"""Rewrites the tables between markers in docs/CAPACITY-SHARDS.md from docs/capacity-shards-figures.txt.

capacity_shards.py          rewrites the page
capacity_shards.py --check  fails when the page is not what the figures give

The figures are RESULT lines as the benches printed them ("make capacity" saves them).
Nothing measured stands in this file: only the sizes of the letter, the settings by
default, and the arithmetic.
"""

import re
import sys

FIGURES = "docs/capacity-shards-figures.txt"
PAGE = "docs/CAPACITY-SHARDS.md"

# The letter's target.
WORKERS = 4100
TASKS = 66000
STARTS = 640
JOBS_A_DAY = 21000
REGIONS = 8
DEPOTS = 25
CHANGES_A_DAY = 1700
TEAMS = 51
LIMIT_CORE = 1.9  # percent
LIMIT_MEMORY = 128e6
LIMIT_BYTES = 20000.0
LIMIT_CHANGE = 5.0
LIMIT_URGENT = 1.6
LIMIT_WRITES = 300.0  # "several hundred": the lowest reading
LIMIT_READS = 2000.0
LIMIT_LINK = 30e6 / 8
# Ours: what bench/table_main.c and bench/shard_main.c are run with.
SHARDS = 64
ROWS = 1500
BENCH_NODES = 100
# Defaults of the settings and constants of the source.
RENEW_S = 10 / 3  # worker_lease_ms / 3
USAGE_S = 10
HOSTS_S = 2.25  # HOSTS_READ_INTERVAL in src/node/core.c with its jitter
ENDED_KEPT = 1024  # KQ_JOB_ENDED_MAX
TOTAL_MS = 10000 / 3  # node_lease_ms / 3

# Today: name, nodes, workers, depots, tasks a worker as at the target.
TODAY = [("Gasilnik Servis", 6, 50, 2, 3), ("Granite Coach Routing", 9, 65, 2, 3)]


def read_figures():
    figures = {}
    with open(FIGURES, encoding="ascii") as f:
        for line in f:
            part = line.split()
            if part[:1] == ["RESULT"]:
                figures[part[1]] = (float(part[2]), part[3], part[-1])
    return figures


class Model:
    """What one node carries when `nodes` share `workers`, `tasks` and `starts`."""

    def __init__(self, f, nodes, workers=WORKERS, tasks=TASKS, starts=STARTS,
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
        """Percent of a core, by line."""
        task_us = ((self.value("lease_cpu_16_tasks_usage") - self.value("lease_cpu_16_tasks"))
                   / USAGE_S / 16)
        lines = {
            "a node by itself": self.slope("live_cpu.node"),
            # The live slope of a peer is lost in the spread of 1 to 11 peers; this is the
            # simulation of 100 nodes, its own share included.
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
                self.slope("memory_ended_job.each") * ENDED_KEPT * max(shards, 1),
            "table, twice": 2 * self.slope("memory_table_row.each") * ROWS,
            "callers waiting (1,000)": self.slope("memory_caller_waiting.each") * 1000,
        }

    def bytes(self, renew=1.0, report=1.0):
        """B/s by line; renewals and reports may be made rarer by a factor."""
        usage = ((self.value("lease_body_16_tasks_usage") - self.value("lease_body_16_tasks"))
                 / USAGE_S / 16)
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


def total(lines):
    return sum(lines.values())


def nodes_needed(f, part, limit):
    for nodes in range(REGIONS, 2001):
        if total(part(Model(f, nodes))) <= limit:
            return nodes
    return None


def word(value, limit):
    return "ok" if value <= limit else "BREAKS"


def table(head, rows):
    out = ["| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
    out += ["| " + " | ".join(r) + " |" for r in rows]
    return "\n".join(out)


def lines_table(lines, unit, show, limit):
    rows = [[k, show(v)] for k, v in lines.items()]
    rows.append(["**sum**", "**%s** of %s: %s" % (show(total(lines)), show(limit),
                                                   word(total(lines), limit))])
    return table(["line", unit], rows)


def megabytes(v):
    return "%.2f" % (v / 1e6)


def node_table(f):
    m = Model(f, BENCH_NODES)
    return "\n\n".join([
        "Processor time, percent of a core, mean node of %d:" % BENCH_NODES,
        lines_table(m.cpu(), "percent", lambda v: "%.3f" % v, LIMIT_CORE),
        "Memory, MB:",
        lines_table(m.memory(), "MB", megabytes, LIMIT_MEMORY),
        "Bytes for control, both ways, B/s:",
        lines_table(m.bytes(), "B/s", lambda v: "%.0f" % v, LIMIT_BYTES),
    ])


def hosts_table(f):
    rows = []
    for name, part, limit in (("processor time", Model.cpu, LIMIT_CORE),
                              ("memory", Model.memory, LIMIT_MEMORY),
                              ("bytes", Model.bytes, LIMIT_BYTES)):
        n = nodes_needed(f, part, limit)
        rows.append([name, str(n) if n else "not with any number up to 2,000"])
    free = LIMIT_WRITES - f["calls_640_50_2ms"][0] - 2 * CHANGES_A_DAY / 86400
    most = "at most %d" % (free * TOTAL_MS / 1000)
    rows.append(["the store's writes, left for the nodes' leases", most])
    return table(["limit", "entry hosts at the target, at least"], rows)


def first_table(f):
    """How much of the target's workers, tasks and starts 100 nodes carry, by limit."""
    rows = []
    for name, part, limit in (("bytes of a node", Model.bytes, LIMIT_BYTES),
                              ("processor time of a node", Model.cpu, LIMIT_CORE),
                              ("memory of a node", Model.memory, LIMIT_MEMORY)):
        size = 0
        for percent in range(1, 5001):
            k = percent / 100
            m = Model(f, BENCH_NODES, WORKERS * k, TASKS * k, STARTS * k)
            if total(part(m)) > limit:
                break
            size = percent
        rows.append((size, [name, "%d%%" % size if size < 5000 else "above 5,000%",
                            "%.0f" % (WORKERS * size / 100),
                            "ok" if size >= 100 else "BREAKS"]))
    rows.sort(key=lambda r: r[0])
    return table(["limit", "part of the target that %d nodes carry" % BENCH_NODES,
                  "workers", ""], [r[1] for r in rows])


def changes_table(f):
    quiet = lambda m: {k: v for k, v in m.bytes().items()
                       if not k.startswith("task starts") and k != "journal commits"}
    cases = [("as it is, at the peak of 640 starts a second", Model.bytes),
             ("as it is, without starts", quiet),
             ("worker_lease_ms = 20000", lambda m: m.bytes(renew=2)),
             ("usage reports each 30 s", lambda m: m.bytes(report=3)),
             ("both", lambda m: m.bytes(renew=2, report=3))]
    rows = []
    for name, part in cases:
        n = nodes_needed(f, part, LIMIT_BYTES)
        rows.append([name, "%.0f" % total(part(Model(f, BENCH_NODES))),
                     str(n) if n else "above 2,000"])
    return table(["change", "B/s of a node of %d" % BENCH_NODES, "entry hosts needed"], rows)


def store_table(f):
    v = lambda name: f[name][0]
    journal = v("calls_640_50_2ms")
    leases = v("member_store_calls_rate")
    hosts = BENCH_NODES * DEPOTS / REGIONS / HOSTS_S
    changes = v("table_store_calls_rate")
    # A node renews its lease once in a third of its time; the rest of its calls are watches.
    renewals = BENCH_NODES * 1000 / TOTAL_MS
    writes = journal + renewals + CHANGES_A_DAY / 86400 * 2
    reads = hosts + max(leases - renewals, 0) + changes
    return table(
        ["line", "calls/s", "limit", ""],
        [["journal commits (most, at 640 starts/s)", "%.0f" % journal, "", ""],
         ["lease renewals of %d nodes" % BENCH_NODES, "%.0f" % renewals, "", ""],
         ["**writes**", "%.0f" % writes, "%.0f" % LIMIT_WRITES, word(writes, LIMIT_WRITES)],
         ["host lists", "%.0f" % hosts, "", ""],
         ["watches of members and table", "%.0f" % (reads - hosts), "", ""],
         ["**reads**", "%.0f" % reads, "%.0f" % LIMIT_READS, word(reads, LIMIT_READS)]])


def time_table(f):
    v = lambda name: f[name][0]
    changes = max(v("table_in_force_max"), v("table_silent_watch_no_push_max"))
    urgent = (v("place.target.urgent_p99") + v("urgent_p99_640_4100_2ms") / 1e3)
    urgent_slow = v("place.target.urgent_p99") + v("urgent_p99_640_4100_100ms") / 1e3
    link = v("member_link_bytes_rate") + v("table_link_bytes") * 1e6 / 86400
    commit = v("commit_p99_640_4100_2ms")
    row = lambda n, x, lim, fmt: [n, fmt % x, fmt % lim, word(x, lim)]
    return table(
        ["line", "value", "limit", ""],
        [row("a change in force everywhere, worst, every push lost (s)", changes,
             LIMIT_CHANGE, "%.2f"),
         row("urgent work: decision and commit, p99, store at 2 ms (s)", urgent,
             LIMIT_URGENT, "%.3f"),
         row("the same, store at 100 ms (s)", urgent_slow, LIMIT_URGENT, "%.3f"),
         row("an ordinary commit, p99 at 640 starts/s, store at 2 ms (s)", commit / 1e3,
             LIMIT_URGENT, "%.3f"),
         row("region links, all together, control only (B/s)", link, LIMIT_LINK, "%.0f")])


def role_table(f):
    s = lambda name: f["slope_" + name][0]
    m = Model(f, BENCH_NODES)
    owner = total(m.memory()) - m.memory()["a node by itself"]
    rows = [
        ["entry, as entry", "open requests, route lines of services",
         "%.0f B a request between nodes, without its body" % s("live_near.request"),
         "%.0f us a request, both roles" % s("live_cpu.request"),
         "in the node's own %s MB" % megabytes(s("live_memory.node")),
         "src/request/gateway.c, entry.c, route.c"],
        ["entry, as shard owner", "%.0f workers, %.0f tasks" % (m.workers, m.tasks),
         "%.1f renewals/s, %.1f starts/s" % (m.workers / RENEW_S, m.starts),
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


def today_table(f):
    rows = []
    flat = lambda m: m.slope("live_near.node") + m.slope("live_near.peer") * m.peers \
        + m.slope("live_far.region_pair") / m.nodes + m.slope("live_far.node")
    for name, nodes, workers, regions, depots in TODAY:
        m = Model(f, nodes, workers, workers * TASKS / WORKERS, workers * STARTS / WORKERS,
                  regions, depots, 4 * regions, flat)
        rows.append([name, "%d / %d" % (nodes, workers), "%.2f" % total(m.cpu()),
                     megabytes(total(m.memory())), "%.0f" % total(m.bytes())])
    m = Model(f, BENCH_NODES)
    rows.append(["target", "%d / %d" % (BENCH_NODES, WORKERS), "%.2f" % total(m.cpu()),
                 megabytes(total(m.memory())), "%.0f" % total(m.bytes())])
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
             "first": first_table, "times": time_table, "today": today_table,
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
