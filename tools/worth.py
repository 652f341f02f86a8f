#!/usr/bin/env python3
"""Plays days of a deployment with several seeds and reports worth earned and lost.

worth.py play OUT --site FILE --days NAME[,NAME] --seeds A[-B][,C] [--cpu] [--vary]
                  [--small] [--logs] [--copies N] [--tree DIR]
worth.py table OUT...            for each folder: the worth earned, and the losses by cause
worth.py compare BEFORE AFTER    compares the same days and seeds in pairs

BENCH names the users' program that plays days. It builds and plays the tree it is started
in, one play at a time, so each parallel play gets its own copy of the tree (tracked and new
files, without the journal). The copies' journal entries are copied into the journal of the
current folder.
"""

import argparse
import json
import math
import os
import queue
import shutil
import subprocess
import sys
import threading

# Plays at the same time: one on each core but one, which is left for other work.
COPIES = 5
RULES = "rules"


def parse_seeds(text):
    seeds = []
    for part in text.split(","):
        low, _, high = part.partition("-")
        seeds.extend(range(int(low), int(high or low) + 1))
    return seeds


def make_copy(tree, to):
    """Writes only files that differ, so that only these are rebuilt. Times aren't copied from
    the tree: make would skip a file that is older than the copy's last build."""
    os.makedirs(to, exist_ok=True)
    listed = subprocess.run(
        ["git", "ls-files", "-z", "--cached", "--others", "--exclude-standard",
         "--", ".", ":!journal"],
        cwd=tree, check=True, capture_output=True, text=True).stdout
    names = {n for n in listed.split("\0") if n and os.path.isfile(os.path.join(tree, n))}
    for folder, folders, files in os.walk(to):
        folders[:] = [f for f in folders if f not in ("target", "journal", ".git")]
        for name in files:
            path = os.path.join(folder, name)
            if os.path.relpath(path, to) not in names:
                os.remove(path)
    for name in names:
        copy_file(os.path.join(tree, name), os.path.join(to, name))
    # The bench gets the list of the tree's files from git.
    if not os.path.isdir(os.path.join(to, ".git")):
        subprocess.run(["git", "init", "-q"], cwd=to, check=True)
    subprocess.run(["git", "add", "-A", "--", ".", ":!journal"], cwd=to,
                   check=True, capture_output=True)


def copy_file(source, to):
    with open(source, "rb") as f:
        data = f.read()
    if os.path.exists(to):
        with open(to, "rb") as f:
            if f.read() == data:
                return
    os.makedirs(os.path.dirname(to), exist_ok=True)
    with open(to, "wb") as f:
        f.write(data)
    shutil.copymode(source, to)


def keep_journal(copy, tree):
    source = os.path.join(copy, "journal")
    for folder, _, files in os.walk(source):
        to = os.path.join(tree, "journal", os.path.relpath(folder, source))
        os.makedirs(to, exist_ok=True)
        for name in files:
            if not os.path.exists(os.path.join(to, name)):
                shutil.copy2(os.path.join(folder, name), os.path.join(to, name))


def play_one(args, copy, day, seed):
    name = f"{os.path.basename(day).removesuffix('.toml')}-{seed}"
    report = os.path.join(args.out, name + ".json")
    command = [os.environ["BENCH"], "run", args.site, day, "--seed", str(seed),
               "--report", report, "--jobs", "1", "--why", args.why]
    command += [] if args.cpu else ["--no-cpu"]
    command += ["--vary"] if args.vary else []
    command += ["--small"] if args.small else []
    command += ["--log", "all"] if args.logs else []
    done = subprocess.run(command, cwd=copy, capture_output=True, text=True, check=False)
    with open(os.path.join(args.out, name + ".txt"), "w", encoding="utf-8") as f:
        f.write(done.stdout + done.stderr)


def worker(args, copy, tasks):
    while True:
        try:
            day, seed = tasks.get_nowait()
        except queue.Empty:
            return
        play_one(args, copy, day, seed)


def build(copies):
    """Builds the first copy and copies its build output to the others."""
    done = subprocess.run([os.environ["BENCH"], "build"], cwd=copies[0], check=False,
                          stdout=subprocess.DEVNULL)
    if done.returncode != 0:
        sys.exit("worth: the tree can't be built")
    for copy in copies[1:]:
        shutil.rmtree(os.path.join(copy, "target"), ignore_errors=True)
        subprocess.run(["cp", "-a", os.path.join(copies[0], "target"), copy], check=True)


def play(args):
    args.out = os.path.abspath(args.out)
    args.site = os.path.abspath(args.site)
    os.makedirs(args.out, exist_ok=True)
    tasks = queue.Queue()
    for day in args.days.split(","):
        for seed in parse_seeds(args.seeds):
            tasks.put((day, seed))
    base = os.path.join(args.tree, "build", "copies") if args.base is None else args.base
    copies = [os.path.join(base, str(i)) for i in range(min(args.copies, tasks.qsize()))]
    for copy in copies:
        make_copy(args.tree, copy)
    build(copies)
    threads = [threading.Thread(target=worker, args=(args, c, tasks)) for c in copies]
    for t in threads:
        t.start()
    for t in threads:
        t.join()
    for copy in copies:
        keep_journal(copy, ".")
    table(args.out)


def load(folder):
    reports = {}
    for name in sorted(os.listdir(folder)):
        if not name.endswith(".json"):
            continue
        with open(os.path.join(folder, name), encoding="utf-8") as f:
            reports[name.removesuffix(".json")] = json.load(f)
    return reports


def broken_rule(report):
    return report.get("fault") or report.get("first")


def broken_days(reports):
    return sum(bool(broken_rule(r)) for r in reports)


def mean(values):
    values = list(values)
    return sum(values) / len(values) if values else float("nan")


def standard_error(values):
    n = len(values)
    m = mean(values)
    return math.sqrt(sum((v - m) ** 2 for v in values) / (n - 1) / n) if n > 1 else 0.0


def losses(report):
    """The difference to a worth of 1, by part and by price."""
    rows = {}
    for name, weight, share in report["parts"]:
        rows["part: " + name] = weight * (1 - share)
    for name, _, price in report["prices"]:
        if abs(price) >= 0.0005:
            rows["price: " + name] = price
    return rows


def over_target(report):
    """Seconds that serving tasks were over target or slowed: in all, and due to filling tasks."""
    for hint in report["hints"]:
        if "over their target" in hint:
            words = hint.replace(",", "").split()
            numbers = [w for w in words if w.isdigit()]
            return [int(numbers[-2]), int(numbers[-1])]
    return [0, 0]


def table(folder):
    reports = load(folder)
    total = {}
    worths = []
    first = next(iter(reports.values()))
    print(f"{'day':24} worth  parts: {', '.join(p[0] for p in first['parts'])}; "
          "by class; seconds over target; rules broken")
    for name, r in reports.items():
        parts = " ".join(f"{p[2]:.3f}" for p in r["parts"])
        classes = " ".join("  -  " if c is None else f"{c:.3f}" for c in r["by_class"])
        worths.append(r["G"])
        print(f"{name:24} {r['G']:.3f}  {parts}  {classes} {over_target(r)[1]:6} "
              f"{broken_rule(r) or ''}")
        for key, value in losses(r).items():
            total[key] = total.get(key, 0) + value
    n = len(reports)
    print(f"{folder}: {n} days, worth {mean(worths):.4f} +- {standard_error(worths):.4f}, "
          f"rules broken on {broken_days(reports.values())}")
    for key, value in sorted(total.items(), key=lambda kv: -kv[1]):
        print(f"  lost {value / n:.4f}  {key}")
    for i, name in enumerate([c["name"] for c in first["classes"]]):
        values = [r["by_class"][i] for r in reports.values() if r["by_class"][i] is not None]
        print(f"  class {name}: {mean(values):.3f} +- {standard_error(values):.3f}")
    print(f"  over target by what fills: {mean(over_target(r)[1] for r in reports.values()):.0f} s")


def compare(before, after):
    old, new = load(before), load(after)
    pairs = [(n, old[n], new[n]) for n in old if n in new]
    def line(what, values):
        print(f"{what:28} {mean(values):+.4f} +- {standard_error(values):.4f}")
    print(f"{after} against {before}: {len(pairs)} pairs, worth "
          f"{mean(o['G'] for _, o, _ in pairs):.4f} -> {mean(n['G'] for _, _, n in pairs):.4f}, "
          f"rules broken on {broken_days(o for _, o, _ in pairs)} -> "
          f"{broken_days(n for _, _, n in pairs)}")
    line("worth", [n["G"] - o["G"] for _, o, n in pairs])
    days = sorted({name.rsplit("-", 1)[0] for name, _, _ in pairs})
    for day in days:
        line("  " + day, [n["G"] - o["G"] for name, o, n in pairs if name.rsplit("-", 1)[0] == day])
    for i, part in enumerate(pairs[0][1]["parts"]):
        line("part " + part[0], [n["parts"][i][2] - o["parts"][i][2] for _, o, n in pairs])
    for i, c in enumerate(pairs[0][1]["classes"]):
        values = [n["by_class"][i] - o["by_class"][i] for _, o, n in pairs
                  if None not in (n["by_class"][i], o["by_class"][i])]
        line("class " + c["name"], values)
    line("over target by fillers, s", [over_target(n)[1] - over_target(o)[1] for _, o, n in pairs])
    for name, o, n in pairs:
        if broken_rule(n):
            print("rule broken:", name, broken_rule(n))


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    p = verbs.add_parser("play")
    p.add_argument("out")
    p.add_argument("--site", required=True)
    p.add_argument("--days", required=True)
    p.add_argument("--seeds", required=True)
    p.add_argument("--cpu", action="store_true", help="processor time is counted")
    p.add_argument("--vary", action="store_true", help="times and figures of a day vary")
    p.add_argument("--small", action="store_true", help="a large day's small twin")
    p.add_argument("--logs", action="store_true", help="keep what the nodes write")
    p.add_argument("--copies", type=int, default=COPIES)
    p.add_argument("--tree", default=".")
    p.add_argument("--base", help="where the copies live; default: build/copies")
    p.add_argument("--why", default="worth.py", help="a line for the journal")
    t = verbs.add_parser("table")
    t.add_argument("folders", nargs="+")
    c = verbs.add_parser("compare")
    c.add_argument("before")
    c.add_argument("after")
    args = parser.parse_args()
    if args.verb == "play":
        args.tree = os.path.abspath(args.tree)
        play(args)
    elif args.verb == "table":
        for folder in args.folders:
            table(folder)
    else:
        compare(args.before, args.after)


if __name__ == "__main__":
    main()
