#!/usr/bin/env python3
"""Measures the scheduler's worth without each of its mechanisms, disabled one at a time.

ablation.py play OUT --site FILE --days NAME[,NAME] --seeds A[-B] [--only NAME[,NAME]]
ablation.py table OUT...         for each folder: the mean loss without each mechanism
ablation.py check                verifies that each edit still applies to the source

A mechanism is disabled by one edit of the source in a copy of the tree. worth.py plays the
same days with the same seeds in the copy and in the unchanged tree ("all"). An edit whose
old text doesn't occur exactly once in its file is an error.
"""

import argparse
import os
import shutil
import subprocess
import sys

import worth

# Name, file, old text, and the new text that disables the mechanism.
MECHANISMS = [
    ("harm learned", "src/sched/disturb.c", "  m->bound[filling] = v > 0 ? v : 0;",
     "  m->bound[filling] = 0 * v;"),
    ("harm beyond doubt only", "src/sched/disturb.c", "#define BOUND_DEVIATIONS 0.4",
     "#define BOUND_DEVIATIONS 0.0"),
    ("load's slope", "src/sched/load_trend.c",
     "return s->level + s->slope * fmin (dt, EXTRAPOLATE_MAX_S);",
     "return s->level + 0 * fmin (dt, EXTRAPOLATE_MAX_S);"),
    ("offset of a task", "src/sched/harm.c", "#define OFFSET_WEIGHT 0.1",
     "#define OFFSET_WEIGHT 0.0"),
    ("pace", "src/sched/pace.c",
     "  if (kq_run_pace_is_doubtful (run, now) || kq_pace_worth_order (run->pace, to))",
     "  if (to < 0)"),
    ("closed after 1.2 s over", "src/sched/harm.c", "#define OVER_TARGET_MAX (1200 * KQ_MS)",
     "#define OVER_TARGET_MAX (1200 * KQ_SEC)"),
    ("slowed blindly", "src/sched/pace.c", "#define UNEXPLAINED_RATIO 1.3",
     "#define UNEXPLAINED_RATIO 1e9"),
    ("peak of the load", "src/sched/harm.c", "#define PEAK_WEIGHT 0.5",
     "#define PEAK_WEIGHT 0.0"),
    ("margin at the start", "src/sched/harm.c", "#define START_SLACK_MARGIN 0.4",
     "#define START_SLACK_MARGIN 0.0"),
    ("whole runners kept free", "src/sched/pools.c",
     "  return r->n_lasting > 0\n", "  return r->n_lasting >= 0\n"),
    ("kept before any is seen", "src/sched/pools.c", "#define KEEP_INITIAL_PERCENT 28",
     "#define KEEP_INITIAL_PERCENT 0"),
    ("images together", "src/sched/place.c", "#define W_SAME_IMAGE 0.6",
     "#define W_SAME_IMAGE 0.0"),
    ("steps together", "src/sched/place.c", "#define W_SAME_STEP 1.5",
     "#define W_SAME_STEP 0.0"),
    ("serving away from harm", "src/sched/place.c", "#define W_SLACK_LOSS 0.5",
     "#define W_SLACK_LOSS 0.0"),
    ("filling beside lasting", "src/sched/place.c", "#define W_NO_LASTING 0.4",
     "#define W_NO_LASTING 0.0"),
    ("short away from serving", "src/sched/place.c", "#define W_BESIDE_SERVING 0.5",
     "#define W_BESIDE_SERVING 0.0"),
    ("serving packed", "src/sched/place.c", "#define W_LASTING_UNUSED 0.4",
     "#define W_LASTING_UNUSED 0.0"),
    ("waiting for speed", "src/sched/place.c",
     "  return required > START_SPEED_MIN ? required : START_SPEED_MIN;",
     "  return 0 * required + START_SPEED_MIN;"),
    ("no idling while half is free", "src/sched/place.c",
     "#define STARVED_AFTER (2 * KQ_SEC)", "#define STARVED_AFTER (2000 * KQ_SEC)"),
    ("slow runners", "src/sched/place.c", "#define W_SLOW 0.6", "#define W_SLOW 0.0"),
    ("failing runners' score", "src/sched/place.c", "#define W_FAILS 0.25",
     "#define W_FAILS 0.0"),
    ("suspect runners", "src/sched/place.c", "if (now < r->suspect_until && !starved)",
     "if (false)"),
    ("elsewhere after a failure", "src/sched/place.h", "#define KQ_PLACE_AVOID 2.0",
     "#define KQ_PLACE_AVOID 0.0"),
    ("copies", "src/sched/watch.c", "  if (!kq_run_step (run)->speculative ||",
     "  if (!kq_run_step (run)->speculative || true ||"),
    ("standing still", "src/sched/watch.c", "  else if (is_stalled (run))",
     "  else if (now < 0 && is_stalled (run))"),
    ("crowded out", "src/sched/watch.c", "#define THROTTLED_MAX (3 * KQ_SEC)",
     "#define THROTTLED_MAX (3000 * KQ_SEC)"),
    ("lost lasting first", "src/sched/place.h", "#define KQ_PLACE_LOST_WAIT_MAX (2 * KQ_SEC)",
     "#define KQ_PLACE_LOST_WAIT_MAX (2000 * KQ_SEC)"),
    ("late and hopeless behind", "src/sched/pass.c", "#define HOPELESS_RATIO 3",
     "#define HOPELESS_RATIO 3000"),
    ("lasting behind those in time", "src/sched/pass.c",
     "    t.rank = RANK_LASTING;", "    t.rank = RANK_LOST;"),
    ("learned kept", "src/sched/sched.c", "  return kq_disturb_unpack (s->disturb, stored);",
     "  return s != NULL && stored.len > 0;"),
]


def read_source(tree, path, old):
    with open(os.path.join(tree, path), encoding="utf-8") as f:
        text = f.read()
    if text.count(old) != 1:
        sys.exit(f"ablation: {path} has '{old}' {text.count(old)} times")
    return text


def edit(tree, path, old, new):
    text = read_source(tree, path, old)
    with open(os.path.join(tree, path), "w", encoding="utf-8") as f:
        f.write(text.replace(old, new))


def result_folder(out, name):
    return os.path.join(out, name.replace(" ", "-").replace("'", ""))


def play(args):
    wanted = args.only.split(",") if args.only else None
    base = os.path.abspath(args.base)
    tree = os.path.join(base, "tree")
    for name, path, old, new in [("all", None, None, None)] + MECHANISMS:
        out = result_folder(args.out, name)
        if (wanted and name not in wanted + ["all"]) or os.path.isdir(out):
            continue
        shutil.rmtree(tree, ignore_errors=True)
        worth.make_copy(".", tree)
        if path:
            edit(tree, path, old, new)
        worth.play(argparse.Namespace(
            out=out, site=args.site, days=args.days, seeds=args.seeds, cpu=False,
            vary=False, logs=False, copies=args.copies, tree=tree,
            base=os.path.join(base, "copies"), why=f"ablation: without {name}"))


def row(name, baseline, without):
    pairs = [(baseline[k]["G"], without[k]["G"]) for k in baseline if k in without]
    loss = [a - b for a, b in pairs]
    broken = worth.broken_days(without.values())
    significant = abs(worth.mean(loss)) > 2 * worth.standard_error(loss)
    return (f"| {name} | {worth.mean(loss):+.4f} | {worth.standard_error(loss):.4f} | "
            f"{'yes' if significant else 'no'} | {broken} |")


def table(folder):
    baseline = worth.load(result_folder(folder, "all"))
    broken = worth.broken_days(baseline.values())
    print(f"{folder}: {len(baseline)} days, "
          f"worth {worth.mean(r['G'] for r in baseline.values()):.4f}, "
          f"rules broken on {broken}\n")
    print("| without | loss of worth | standard error | beyond two errors | rules broken on |")
    print("| --- | --- | --- | --- | --- |")
    for name, *_ in MECHANISMS:
        if os.path.isdir(result_folder(folder, name)):
            print(row(name, baseline, worth.load(result_folder(folder, name))))


def main():
    parser = argparse.ArgumentParser(description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    verbs = parser.add_subparsers(dest="verb", required=True)
    p = verbs.add_parser("play")
    p.add_argument("out")
    p.add_argument("--site", required=True)
    p.add_argument("--days", required=True)
    p.add_argument("--seeds", required=True)
    p.add_argument("--only", help="names of mechanisms")
    p.add_argument("--copies", type=int, default=worth.COPIES)
    p.add_argument("--base", default="build/ablation", help="where the copies live")
    t = verbs.add_parser("table")
    t.add_argument("folders", nargs="+")
    verbs.add_parser("check")
    args = parser.parse_args()
    if args.verb == "check":
        for _, path, old, _ in MECHANISMS:
            read_source(".", path, old)
    elif args.verb == "play":
        play(args)
    else:
        for folder in args.folders:
            table(folder)


if __name__ == "__main__":
    main()
