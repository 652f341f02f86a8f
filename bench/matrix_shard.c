#include "fleet.h"
#include "matrix.h"

#include <stdio.h>
#include <string.h>

#define SETTLE_TIME (40 * KQ_SEC) /* limit at the start and after the fault */
#define FAULT_TIME (20 * KQ_SEC)
#define STEP_TIMEOUT (60 * KQ_SEC) /* a snapshot takes longest to happen */
#define TIME_AFTER (5 * KQ_SEC)
#define ACKS_AFTER_MIN 100 /* minimum in TIME_AFTER, of about 1,000 sent */
#define NODE 1             /* stopped or drained, so that others take over */
#define NODE_REGION_B 3    /* the same in the second region */

static const KqFault faults[KQ_MATRIX_FAULT_COUNT] = {
  [KQ_MATRIX_STORE_DOWN] = KQ_FAULT_STORE_DOWN,
  [KQ_MATRIX_STORE_SLOW] = KQ_FAULT_STORE_SLOW,
  [KQ_MATRIX_ANSWER_LOST] = KQ_FAULT_LOST_AFTER,
  [KQ_MATRIX_DIES] = KQ_FAULT_DIES,
  [KQ_MATRIX_PAUSES] = KQ_FAULT_PAUSES,
  [KQ_MATRIX_WATCH_SILENT] = KQ_FAULT_WATCH_SILENT,
  [KQ_MATRIX_CUT_ONE_WAY] = KQ_FAULT_PEER_CUT_TO,
  [KQ_MATRIX_CUT_BOTH] = KQ_FAULT_PEER_CUT,
  [KQ_MATRIX_REGION_CUT] = KQ_FAULT_REGION_CUT,
  [KQ_MATRIX_LEASE_LAPSES] = KQ_FAULT_LEASE_LAPSES,
};

/* The store call that marks a step, and what causes it. */
typedef struct
{
  const char *step;
  KqStoreOpKind kind;
  const char *prefix;
  enum
  {
    CAUSE_CLIENTS,
    CAUSE_CRASH,
    CAUSE_DRAIN
  } cause;
} Step;

static const Step steps[] = {
  { "take ownership", KQ_STORE_PUT, "own/", CAUSE_CRASH },
  { "commit", KQ_STORE_PUT, "log/", CAUSE_CLIENTS },
  { "snapshot", KQ_STORE_PUT, "snap/", CAUSE_CLIENTS },
  { "recover", KQ_STORE_LIST, "log/", CAUSE_CRASH },
  { "hand over", KQ_STORE_PUT, "own/", CAUSE_DRAIN },
  { "renew", KQ_STORE_LEASE_RENEW, "", CAUSE_CLIENTS },
};

static const Step *
find_step (const char *name)
{
  size_t i = 0;
  while (strcmp (steps[i].step, name) != 0)
    i++;
  return &steps[i];
}

static bool
run_until_settled (KqFleetSim *f)
{
  KqTime end = kq_fleet_sim_now (f) + SETTLE_TIME;
  while (!kq_fleet_sim_settled (f) && kq_fleet_sim_now (f) < end
         && kq_fleet_sim_violation (f) == NULL)
    kq_fleet_sim_run (f, KQ_SEC / 10);
  return kq_fleet_sim_settled (f) && kq_fleet_sim_violation (f) == NULL;
}

/* Returns NULL, or what was violated. */
static const char *
run_cell (KqFleetSim *f, const Step *step, KqMatrixFault fault)
{
  int node = fault == KQ_MATRIX_REGION_CUT ? NODE_REGION_B : NODE;
  if (!run_until_settled (f))
    return "not settled at the start";
  kq_fleet_sim_on_call (f, step->kind, step->prefix, faults[fault]);
  if (step->cause == CAUSE_CRASH)
    kq_fleet_sim_inject_fault (f, KQ_FAULT_DIES, node);
  else if (step->cause == CAUSE_DRAIN)
    kq_fleet_sim_drain (f, node);
  KqTime end = kq_fleet_sim_now (f) + STEP_TIMEOUT;
  while (!kq_fleet_sim_triggered (f) && kq_fleet_sim_now (f) < end)
    kq_fleet_sim_run (f, KQ_MS);
  if (!kq_fleet_sim_triggered (f))
    return "the step was never made";
  kq_fleet_sim_run (f, FAULT_TIME);
  kq_fleet_sim_heal (f);
  if (!run_until_settled (f))
    return kq_fleet_sim_violation (f) != NULL ? kq_fleet_sim_violation (f)
                                              : "not settled after";
  uint64_t acked = kq_fleet_sim_acked (f);
  kq_fleet_sim_run (f, TIME_AFTER);
  if (kq_fleet_sim_violation (f) == NULL
      && kq_fleet_sim_acked (f) < acked + ACKS_AFTER_MIN)
    return "hardly anything is acknowledged after";
  if (kq_fleet_sim_violation (f) == NULL)
    kq_fleet_sim_compare (f);
  return kq_fleet_sim_violation (f);
}

static KqMatrixResult
run_row (const char *step, KqMatrixFault fault, uint64_t seed,
         char why[KQ_MATRIX_WHY_SIZE])
{
  if (fault == KQ_MATRIX_OPERATORS_RACE)
    return KQ_MATRIX_NOT_APPLICABLE; /* operators change no ownership */
  KqFleetSim *f = kq_fleet_sim_new (seed);
  const char *wrong = run_cell (f, find_step (step), fault);
  if (wrong != NULL)
    snprintf (why, KQ_MATRIX_WHY_SIZE, "%s", wrong);
  kq_fleet_sim_free (f);
  return wrong == NULL ? KQ_MATRIX_PASSED : KQ_MATRIX_FAILED;
}

static const KqMatrixRow rows[] = {
  { "take ownership", run_row }, { "commit", run_row },    { "snapshot", run_row },
  { "recover", run_row },        { "hand over", run_row }, { "renew", run_row },
};

const KqMatrixTable kq_matrix_shard = { rows, sizeof rows / sizeof rows[0] };
