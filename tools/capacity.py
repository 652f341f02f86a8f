#!/usr/bin/env python3
"""Updates the tables between markers in docs/CAPACITY.md from sweeps over the fleet size.

capacity.py          updates the page
capacity.py --check  fails if the page differs from the generated tables
capacity.py take NAME FILE
                     saves the figures of a sweep's output as docs/sweeps/NAME.txt
capacity.py take-day NAME REPORT
                     saves the figures of one day's report as docs/fleet-days/NAME.json

A sweep plays one day at several fleet sizes and prints, for each role, the middle and the
busiest process. This file holds no measured values, only the target and the extrapolation:
a figure grows as a power of the number of hosts, with the exponent taken from the smallest
and the largest size played and limited to 0..2.
"""

import json
import os
import re
import sys

PAGE = "docs/CAPACITY.md"
FOLDER = "docs/sweeps"
DAYS_FOLDER = "docs/fleet-days"

# Target size and limits for each process.
WORKERS = 4100
LIMITS = {
    "entry: processor %": 1.9,
    "entry: memory MB": 128.0,
    "entry: kB a second": 20.0,
}
# Lines of a sweep's output that are saved.
KEPT_LINES = re.compile(r"^(day |sweep-\d+ +\d|entry: |config |leaving |next ack |serving |middle / | {20,}\d)")


class Sweep:
    def __init__(self, path):
        self.days = []  # hosts, runners, worth, refused, failed, broken
        self.rows = []  # name, [(middle, busiest)]
        with open(path, encoding="utf-8") as f:
            for line in f:
                self.parse_line(line.rstrip("\n"))

    def parse_line(self, line):
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


def growth_exponent(sizes, values):
    """Exponent of growth from the smallest to the largest size, limited to 0..2."""
    import math
    if values[0] <= 0 or values[-1] <= 0:
        return 0.0
    p = math.log(values[-1] / values[0]) / math.log(sizes[-1] / sizes[0])
    return max(0.0, min(2.0, p))


def format_number(v):
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
    target_hosts = WORKERS * hosts[-1] / runners[-1]
    head = [f"{h} hosts" for h in hosts]
    out = [f"| middle / busiest | {' | '.join(head)} | busiest grows as | "
           f"busiest at {WORKERS} runners | limit | |",
           "| --- |" + " --- |" * (len(head) + 4)]
    for name, pairs in sweep.rows:
        p = growth_exponent(hosts, [b for _, b in pairs])
        value = pairs[-1][1] * (target_hosts / hosts[-1]) ** p
        limit = LIMITS.get(name)
        cells = [f"{format_number(a)} / {format_number(b)}" for a, b in pairs]
        verdict = "" if limit is None else "ok" if value <= limit else "not reached"
        out.append(f"| {name} | {' | '.join(cells)} | hosts^{p:.2f} | {format_number(value)} | "
                   f"{'' if limit is None else format_number(limit)} | {verdict} |")
    return out


# What a day's report holds of each role's load, in its order.
LOAD_ROWS = ("processor %", "memory MB", "kB a second", "wake-ups a second", "connections",
             "new connections a second")


def save_day(name, path):
    """Keeps of a report what the page shows."""
    with open(path, encoding="utf-8") as f:
        r = json.load(f)
    rows = {}
    for role, load in r["load"].items():
        rows |= {f"{role}: {n}": pair for n, pair in zip(LOAD_ROWS, load["of"])}
    rows |= {f"{n}, ms": pair for n, pair in r["times"].items() if pair}
    kept = {"hosts": r["machines"], "runners": r["services"][0]["servers"], "worth": r["G"],
            "served": r["served"], "refused": r["refused"], "failed": r["failed"],
            "rules broken": r["breaks"], "parts": {n: v for n, _, v in r["parts"]},
            "prices": {n: [q, p] for n, q, p in r["prices"] if p >= 0.0005}, "rows": rows}
    os.makedirs(DAYS_FOLDER, exist_ok=True)
    with open(os.path.join(DAYS_FOLDER, name + ".json"), "w", encoding="utf-8") as f:
        json.dump(kept, f, indent=1)
        f.write("\n")


def fleet_table():
    """One column for each day of the whole fleet."""
    days = {}
    for name in sorted(n for n in os.listdir(DAYS_FOLDER) if n.endswith(".json")):
        with open(os.path.join(DAYS_FOLDER, name), encoding="utf-8") as f:
            days[name.removesuffix(".json")] = json.load(f)
    names = list(days)
    out = ["| middle / busiest | " + " | ".join(names) + " |", "| --- |" + " --- |" * len(names)]

    def add(title, cell):
        out.append(f"| {title} | " + " | ".join(cell(days[n]) for n in names) + " |")

    add("worth", lambda d: f"{d['worth']:.3f}")
    add("served", lambda d: f"{d['served']:.3f}")
    add("refused", lambda d: f"{d['refused']:.3f}")
    add("failed", lambda d: f"{d['failed']:.3f}")
    add("rules broken", lambda d: ", ".join(f"{r} {n}" for r, n in d["rules broken"].items())
        or "none")
    for part in days[names[0]]["parts"]:
        add(part, lambda d, part=part: f"{d['parts'][part]:.3f}")
    add("prices", lambda d: f"{sum(p for _, p in d['prices'].values()):.3f}")
    add("calls to the store", lambda d: f"{d['prices'].get('cloud calls', [0])[0]:.0f}")
    for row in list(dict.fromkeys(r for n in names for r in days[n]["rows"])):
        add(row, lambda d, row=row: " / ".join(format_number(v) for v in d["rows"][row])
            if row in d["rows"] else "")
    return out


def fill_table(text, marker, lines):
    begin, end = f"<!-- begin {marker} -->\n", f"<!-- end {marker} -->"
    if begin not in text:
        sys.exit(f"{PAGE} has no table '{marker}'")
    head, rest = text.split(begin, 1)
    return head + begin + "\n".join(lines) + "\n" + end + rest.split(end, 1)[1]


def fill_tables(text):
    text = fill_table(text, "fleet", fleet_table())
    for name in sorted(os.listdir(FOLDER)):
        sweep = Sweep(os.path.join(FOLDER, name))
        for part, table in (("days", days_table), ("roles", roles_table)):
            text = fill_table(text, f"{part} {name.removesuffix('.txt')}", table(sweep))
    return text


def save_figures(name, path):
    with open(path, encoding="utf-8") as f:
        lines = [line.rstrip() for line in f if KEPT_LINES.match(line)]
    os.makedirs(FOLDER, exist_ok=True)
    with open(os.path.join(FOLDER, name + ".txt"), "w", encoding="utf-8") as f:
        f.write("\n".join(lines) + "\n")


def main():
    if sys.argv[1:2] == ["take"]:
        save_figures(sys.argv[2], sys.argv[3])
        return
    if sys.argv[1:2] == ["take-day"]:
        save_day(sys.argv[2], sys.argv[3])
        return
    with open(PAGE, encoding="utf-8") as f:
        page = f.read()
    text = fill_tables(page)
    if sys.argv[1:] == ["--check"]:
        if text != page:
            sys.exit(f"{PAGE} is not what {FOLDER} gives: run tools/capacity.py")
        return
    with open(PAGE, "w", encoding="utf-8") as f:
        f.write(text)


if __name__ == "__main__":
    main()
