#!/usr/bin/env python3
"""Prints who waits on a heavy day, from the log lines of a fleet's leaders.

heavy_day.py LOG

LOG holds the nodes' output (`fleetbench run ... --log all`). For each kind of job: how many
ended in time, late (up to three times the objective) and too late to be of use, by the
objective that the leader logs at the job's end, and the same by the job's number of tasks.
The share of each in all tasks says how much work goes into jobs that end too late.
"""

import re
import sys

ADDED = re.compile(r"Job added\. job=(\w+) .*?kind=(\w+) .*?tasks=(\d+) ")
ENDED = re.compile(r"Job ended\. job=(\w+) state=(\w+) age_ms=(\d+) objective_ms=(\d+) ")
LATE_RATIO = 3
SIZES = ((0, 0.2), (0.2, 0.5), (0.5, 0.8), (0.8, 0.9), (0.9, 1))


def read(path):
    """The kind and tasks of each job, and the state and age by objective of those ended."""
    jobs, ends = {}, {}
    with open(path, encoding="utf-8", errors="replace") as f:
        for line in f:
            added, ended = ADDED.search(line), ENDED.search(line)
            if added:
                jobs.setdefault(added[1], (added[2], int(added[3])))
            if ended:
                ends[ended[1]] = (ended[2], int(ended[3]) / max(int(ended[4]), 1))
    return jobs, ends


def outcome(ratio):
    return 0 if ratio <= 1 else 1 if ratio <= LATE_RATIO else 2


def print_row(name, rows):
    n = max(len(rows), 1)
    tasks = max(sum(t for t, _ in rows), 1)
    counts = [sum(outcome(r) == k for _, r in rows) for k in range(3)]
    work = [sum(t for t, r in rows if outcome(r) == k) for k in range(3)]
    print(f"  {name:24} {len(rows):6} "
          + " ".join(f"{c / n:8.2f}" for c in counts) + "   "
          + " ".join(f"{w / tasks:8.2f}" for w in work))


def main():
    if len(sys.argv) != 2:
        sys.exit(__doc__)
    jobs, ends = read(sys.argv[1])
    print(f"  {'':24} {'jobs':>6} {'in time':>8} {'late':>8} {'no use':>8}   shares of tasks")
    for kind in sorted({k for k, _ in jobs.values()}):
        own = [j for j in jobs if jobs[j][0] == kind]
        states = {}
        for j in own:
            state = ends[j][0] if j in ends else "open"
            states[state] = states.get(state, 0) + 1
        print(f"{kind}: " + ", ".join(f"{n} {s}" for s, n in sorted(states.items())))
        done = sorted((jobs[j][1], ends[j][1]) for j in own
                      if j in ends and ends[j][0] == "completed")
        if not done:
            continue
        print_row("all completed", done)
        for low, high in SIZES:
            part = done[int(low * len(done)):int(high * len(done))]
            print_row(f"by tasks, {low:.0%} to {high:.0%}", part)


if __name__ == "__main__":
    main()
