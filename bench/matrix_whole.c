#include "whole_state.h"

#include <stdio.h>
#include <string.h>

/* The matrix's rows of jobs, claims and the table. Complete node cores run under normal
 * load until a node has taken the step; then the fault is injected into that node (or the
 * store, or the region) for longer than a lease. The invariants of bench/whole.h must
 * hold during and after it. */

#define WARM_UP (10 * KQ_SEC)
#define STEP_TIMEOUT (120 * KQ_SEC)
#define FAULT_TIME (8 * KQ_SEC)
#define TIME_AFTER (20 * KQ_SEC)

typedef struct
{
  const char *name;
  KqWholeStep id;
} Step;

static const Step steps[] = {
  { "accept", KQ_STEP_ACCEPT },       { "start", KQ_STEP_START },
  { "renew", KQ_STEP_RENEW },         { "finish", KQ_STEP_FINISH },
  { "cancel", KQ_STEP_CANCEL },       { "claim", KQ_STEP_CLAIM },
  { "claim end", KQ_STEP_CLAIM_END }, { "move", KQ_STEP_MOVE },
  { "table change", KQ_STEP_TABLE },
};

static KqWholeStep
step_of (const char *step)
{
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      if (strcmp (steps[i].name, step) == 0)
        return steps[i].id;
    }
  return KQ_STEP_NONE;
}

/* Changes one row through a node. Two changes at once are the operators' race: one of
 * them gets CONFLICT, and all nodes have the same table at the end. */
static void
change_row (KqWhole *w, int node, int64_t weight, uint64_t expect)
{
  KqRowChange c = { .row = kq_row_default (KQ_ROW_SERVICE, KQ_STR ("seal")) };
  c.row.u.service.weight = weight;
  c.expect = expect;
  if (w->nodes[node].core == NULL)
    return;
  kq_core_change_table (w->nodes[node].core, 77, &c, 1, w->now, &w->nodes[node].out);
  kq_whole_run_outbox (w, node);
}

static void
check_one_table (KqWhole *w)
{
  uint64_t first = 0;
  for (int i = 0; i < NODES; i++)
    {
      KqTable *t = w->nodes[i].core != NULL ? kq_core_table (w->nodes[i].core) : NULL;
      uint64_t revision = t != NULL ? kq_table_revision (t) : 0;
      if (i == 0)
        first = revision;
      else if (revision != first)
        kq_whole_add_violation (w, "node %d has table %llu, node 0 has %llu", i,
                                (unsigned long long)revision, (unsigned long long)first);
    }
}

static uint64_t
row_revision (KqWhole *w)
{
  KqTable *t = kq_core_table (w->nodes[0].core);
  const KqRow *r = t != NULL ? kq_table_find (t, KQ_ROW_SERVICE, KQ_STR ("seal")) : NULL;
  return r != NULL ? r->revision : 0;
}

static void
run_step (KqWhole *w, KqWholeStep step, bool race)
{
  KqTime until = w->now + STEP_TIMEOUT;
  w->trigger_step = step;
  if (step == KQ_STEP_TABLE)
    {
      uint64_t expect = row_revision (w);
      change_row (w, 1, 5, expect);
      if (race)
        change_row (w, 3, 6, expect);
    }
  while (!w->triggered && w->now < until && w->result.violation[0] == '\0')
    kq_whole_advance (w, 100 * KQ_MS);
}

static KqMatrixResult
run_cell (const char *step, KqMatrixFault fault, uint64_t seed,
          char why[KQ_MATRIX_WHY_SIZE])
{
  KqWholeStep id = step_of (step);
  bool race = fault == KQ_MATRIX_OPERATORS_RACE;
  KqWhole *w;
  KqMatrixResult result = KQ_MATRIX_PASSED;
  if (race && id != KQ_STEP_TABLE)
    return KQ_MATRIX_NOT_APPLICABLE;
  w = kq_whole_new (seed);
  w->trigger_fault = fault;
  kq_whole_set_table (w);
  kq_whole_add_event (w, EVENT_CLIENT, w->now);
  kq_whole_advance (w, WARM_UP);
  run_step (w, id, race);
  if (!w->triggered)
    result = KQ_MATRIX_NOT_APPLICABLE;
  kq_whole_advance (w, FAULT_TIME);
  kq_whole_heal (w);
  kq_whole_advance (w, TIME_AFTER);
  kq_whole_final_checks (w);
  check_one_table (w);
  if (w->result.violation[0] != '\0')
    {
      snprintf (why, KQ_MATRIX_WHY_SIZE, "%s", w->result.violation);
      result = KQ_MATRIX_FAILED;
    }
  kq_whole_free (w);
  return result;
}

static const KqMatrixRow rows[] = {
  { "accept", run_cell },    { "start", run_cell },  { "renew", run_cell },
  { "finish", run_cell },    { "cancel", run_cell }, { "claim", run_cell },
  { "claim end", run_cell }, { "move", run_cell },   { "table change", run_cell },
};

const KqMatrixTable kq_matrix_whole = { rows, sizeof rows / sizeof rows[0] };
