#!/usr/bin/env python3
"""Rewrites the tables between markers in docs/CAPACITY.md from sweeps of a fleet's size.

capacity.py          rewrites the page
capacity.py --check  fails when the page is not what the figures give
capacity.py take NAME FILE
                     keeps the figures of a sweep's output as docs/sweeps/NAME.txt

A sweep plays one day at several sizes of a fleet and prints, for each role, the middle
and the busiest process. Nothing measured stands in this file: only the target, and how a
figure is carried on to a size that wasn't played: as the power of the number of hosts to
which it grew over the sizes played, held between 0 and 2.
"""

import os
import re
import sys

PAGE = "docs/CAPACITY.md"
FOLDER = "docs/sweeps"

# The target.
WORKERS = 4100
LIMITS = {
    "entry: processor %": 1.9,
    "entry: memory MB": 128.0,
    "entry: kB a second": 20.0,
}
KEPT = re.compile(r"^(day |sweep-\d+ +\d|entry: |config |leaving |next ack |serving |middle / | {20,}\d)")


class Sweep:
    def __init__(self, path):
        self.days = []  # hosts, runners, worth, refused, failed, broken
        self.rows = []  # name, [(middle, busiest)]
        with open(path, encoding="utf-8") as f:
            for line in f:
                self.take(line.rstrip("\n"))

    def take(self, line):
        m = re.match(r"sweep-\d+\s+(\d+)/(\d+)\s+\S+\s+(\S+)\s+\S+\s+(\S+)\s+(\S+)", line)
        if m:
            broken = "BROKEN" in line
            self.days.append((int(m[1]), int(m[2]), m[3], m[4], m[5], broken))
            return
        m = re.match(r"(\S.*?)\s{2,}(.*/.*)$", line)
        if m and not line.startswith("middle"):
            pairs = re.findall(r"([\d.]+) / ([\d.]+)", m[2])
            if pairs and len(pairs) == len(self.days):
                self.rows.append((m[1], [(float(a), float(b)) for a, b in pairs]))


def power(sizes, values):
    """Of growth between the smallest and the largest size."""
    import math
    if values[0] <= 0 or values[-1] <= 0:
        return 0.0
    p = math.log(values[-1] / values[0]) / math.log(sizes[-1] / sizes[0])
    return max(0.0, min(2.0, p))


def number(v):
    return f"{v:.0f}" if v >= 100 else f"{v:.1f}" if v >= 10 else f"{v:.2f}"


def days_table(sweep):
    out = ["| hosts | runners | worth | refused | failed | rules broken |",
           "| --- | --- | --- | --- | --- | --- |"]
    for hosts, runners, worth, refused, failed, broken in sweep.days:
        out.append(f"| {hosts} | {runners} | {worth} | {refused} | {failed} | "
                   f"{'yes' if broken else 'none'} |")
    return out


def roles_table(sweep):
    hosts = [d[0] for d in sweep.days]
    runners = [d[1] for d in sweep.days]
    at = WORKERS * hosts[-1] / runners[-1]
    head = [f"{h} hosts" for h in hosts]
    out = [f"| middle / busiest | {' | '.join(head)} | busiest grows as | "
           f"busiest at {WORKERS} runners | limit | |",
           "| --- |" + " --- |" * (len(head) + 4)]
    for name, pairs in sweep.rows:
        p = power(hosts, [b for _, b in pairs])
        value = pairs[-1][1] * (at / hosts[-1]) ** p
        limit = LIMITS.get(name)
        cells = [f"{number(a)} / {number(b)}" for a, b in pairs]
        verdict = "" if limit is None else "ok" if value <= limit else "not reached"
        out.append(f"| {name} | {' | '.join(cells)} | hosts^{p:.2f} | {number(value)} | "
                   f"{'' if limit is None else number(limit)} | {verdict} |")
    return out


def fill(text):
    for name in sorted(os.listdir(FOLDER)):
        sweep = Sweep(os.path.join(FOLDER, name))
        for part, table in (("days", days_table), ("roles", roles_table)):
            marker = f"{part} {name.removesuffix('.txt')}"
            begin, end = f"<!-- begin {marker} -->\n", f"<!-- end {marker} -->"
            if begin not in text:
                sys.exit(f"{PAGE} has no table '{marker}'")
            head, rest = text.split(begin, 1)
            text = head + begin + "\n".join(table(sweep)) + "\n" + end + rest.split(end, 1)[1]
    return text


def take(name, path):
    with open(path, encoding="utf-8") as f:
        lines = [line.rstrip() for line in f if KEPT.match(line)]
    os.makedirs(FOLDER, exist_ok=True)
    with open(os.path.join(FOLDER, name + ".txt"), "w", encoding="utf-8") as f:
        f.write("\n".join(lines) + "\n")


def main():
    if sys.argv[1:2] == ["take"]:
        take(sys.argv[2], sys.argv[3])
        return
    with open(PAGE, encoding="utf-8") as f:
        page = f.read()
    text = fill(page)
    if sys.argv[1:] == ["--check"]:
        if text != page:
            sys.exit(f"{PAGE} is not what {FOLDER} gives: run tools/capacity.py")
        return
    with open(PAGE, "w", encoding="utf-8") as f:
        f.write(text)


if __name__ == "__main__":
    main()
