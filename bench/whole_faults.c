#include "whole_state.h"

#include <string.h>

static void
cut_node (KqWhole *w, int node, bool both)
{
  for (int k = 0; k < NODES; k++)
    {
      w->cut[node][k] = k != node;
      if (both)
        w->cut[k][node] = k != node;
    }
}

/* Cuts the second region from the first and from the store, which is in the first. */
static void
cut_region (KqWhole *w)
{
  KqStoreFaults *s = kq_store_fake_faults (w->store);
  for (int i = FIRST_REGION_NODES; i < NODES; i++)
    {
      s->cut_to[i] = s->cut_from[i] = true;
      for (int k = 0; k < FIRST_REGION_NODES; k++)
        w->cut[i][k] = w->cut[k][i] = true;
    }
}

static void
expire_lease (KqWhole *w, int node)
{
  KqCore *c = w->nodes[node].core;
  uint64_t lease = c != NULL ? kq_member_lease (kq_core_member (c)) : 0;
  if (lease != 0)
    kq_store_fake_expire_lease (w->store, lease, w->now);
}

/* Injects a random fault. Several may be on at once; kq_whole_heal ends them, except
 * crashes and pauses. */
void
kq_whole_inject_random_fault (KqWhole *w)
{
  KqStoreFaults *s = kq_store_fake_faults (w->store);
  int node = (int)kq_rand_below (&w->rand, NODES);
  int worker = (int)kq_rand_below (&w->rand, WORKERS);
  KqTime span = KQ_SEC + (KqTime)kq_rand_below (&w->rand, FAULT_MAX);
  w->result.faults++;
  switch (kq_rand_below (&w->rand, 14))
    {
    case 0:
      kq_whole_kill (w, node, span / 3);
      break;
    case 1:
      w->nodes[node].paused_until = w->now + span;
      kq_store_fake_faults (w->store)->paused_until[node] = w->now + span;
      break;
    case 2:
      s->down = true;
      break;
    case 3:
      s->latency = 50 * KQ_MS + (KqTime)kq_rand_below (&w->rand, 400 * KQ_MS);
      break;
    case 4:
      s->p[KQ_STORE_FAULT_LOST_AFTER] = s->p[KQ_STORE_FAULT_LATE_EFFECT] = 0.1;
      break;
    case 5:
      s->watches_silent = true;
      break;
    case 6:
      s->cut_to[node] = s->cut_from[node] = true;
      break;
    case 7:
      cut_node (w, node, true);
      break;
    case 8:
      w->cut[node][(node + 1) % NODES] = true;
      break;
    case 9:
      kq_fake_worker_restart (&w->workers[worker]);
      break;
    case 10:
      w->worker_cut[worker] = true;
      break;
    case 11:
      cut_region (w);
      break;
    case 12:
      expire_lease (w, node);
      break;
    default:
      if (w->nodes[node].core != NULL && !w->nodes[node].draining)
        {
          w->nodes[node].draining = true;
          kq_core_drain (w->nodes[node].core);
        }
      break;
    }
}

void
kq_whole_inject_fault (KqWhole *w, KqMatrixFault fault, int node)
{
  KqStoreFaults *s = kq_store_fake_faults (w->store);
  w->result.faults++;
  switch (fault)
    {
    case KQ_MATRIX_STORE_DOWN:
      s->down = true;
      break;
    case KQ_MATRIX_STORE_SLOW:
      s->latency = 400 * KQ_MS;
      break;
    case KQ_MATRIX_ANSWER_LOST:
      s->p[KQ_STORE_FAULT_LOST_AFTER] = 0.5;
      break;
    case KQ_MATRIX_DIES:
      kq_whole_kill (w, node, 4 * KQ_SEC);
      break;
    case KQ_MATRIX_PAUSES:
      w->nodes[node].paused_until = s->paused_until[node] = w->now + 9 * KQ_SEC;
      break;
    case KQ_MATRIX_WATCH_SILENT:
      s->watches_silent = true;
      break;
    case KQ_MATRIX_CUT_ONE_WAY:
      cut_node (w, node, false);
      break;
    case KQ_MATRIX_CUT_BOTH:
      cut_node (w, node, true);
      break;
    case KQ_MATRIX_REGION_CUT:
      cut_region (w);
      break;
    case KQ_MATRIX_LEASE_LAPSES:
      expire_lease (w, node);
      break;
    case KQ_MATRIX_OPERATORS_RACE:
    case KQ_MATRIX_FAULT_COUNT:
      break;
    }
}

void
kq_whole_heal (KqWhole *w)
{
  KqStoreFaults *s = kq_store_fake_faults (w->store);
  s->down = s->watches_silent = false;
  s->latency = 2 * KQ_MS;
  memset (s->p, 0, sizeof s->p);
  memset (s->cut_to, 0, sizeof s->cut_to);
  memset (s->cut_from, 0, sizeof s->cut_from);
  memset (w->cut, 0, sizeof w->cut);
  memset (w->worker_cut, 0, sizeof w->worker_cut);
  for (int i = 0; i < NODES; i++)
    {
      /* A drained node is stopped and restarts. */
      if (w->nodes[i].draining)
        kq_whole_kill (w, i, 100 * KQ_MS);
    }
}
