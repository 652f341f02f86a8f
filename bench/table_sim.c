#include "table_sim.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK (100 * KQ_MS)
#define NEAR_HEARTBEAT_INTERVAL (500 * KQ_MS)
#define FAR_HEARTBEAT_INTERVAL (2 * KQ_SEC)

/* A message in transit. */
typedef struct
{
  KqTime at;
  uint64_t serial;
  int from;
  int to;
  int n_starts; /* n_starts of the receiver when sent */
  KqMsg *msg;
} InTransit;

/* The caller of a store call. */
typedef struct
{
  int node;
  int n_starts;
  uint64_t token;
} StoreCall;

typedef struct KqTableSimState
{
  InTransit *in_transit; /* a heap by time and serial */
  size_t n_in_transit;
  size_t capacity;
  uint64_t serial;
  StoreCall *store_calls; /* indexed by the token given to the store */
  size_t n_store_calls;
  size_t store_calls_capacity;
  KqTime next_tick;
  KqTime next_near_heartbeats;
  KqTime next_far_heartbeats;
  uint64_t n_heartbeat_rounds;
} State;

static bool
earlier (const InTransit *a, const InTransit *b)
{
  return a->at != b->at ? a->at < b->at : a->serial < b->serial;
}

static void
swap (InTransit *a, InTransit *b)
{
  InTransit t = *a;
  *a = *b;
  *b = t;
}

static void
push (State *s, InTransit f)
{
  size_t i = s->n_in_transit++;
  if (s->n_in_transit > s->capacity)
    {
      s->capacity = s->capacity > 0 ? 2 * s->capacity : 256;
      s->in_transit = kq_realloc (s->in_transit, s->capacity * sizeof *s->in_transit);
    }
  f.serial = s->serial++;
  s->in_transit[i] = f;
  while (i > 0 && earlier (&s->in_transit[i], &s->in_transit[(i - 1) / 2]))
    {
      swap (&s->in_transit[i], &s->in_transit[(i - 1) / 2]);
      i = (i - 1) / 2;
    }
}

static InTransit
pop (State *s)
{
  InTransit top = s->in_transit[0];
  size_t i = 0;
  s->in_transit[0] = s->in_transit[--s->n_in_transit];
  for (;;)
    {
      size_t c = 2 * i + 1;
      if (c >= s->n_in_transit)
        return top;
      if (c + 1 < s->n_in_transit && earlier (&s->in_transit[c + 1], &s->in_transit[c]))
        c++;
      if (!earlier (&s->in_transit[c], &s->in_transit[i]))
        return top;
      swap (&s->in_transit[c], &s->in_transit[i]);
      i = c;
    }
}

static int
index_of (const KqTableSim *f, KqNodeId id)
{
  for (int i = 0; i < f->n; i++)
    if (f->nodes[i].info.id == id)
      return i;
  return -1;
}

static void
call_store (KqTableSim *f, KqTableSimNode *n, KqStoreOp *op)
{
  State *s = f->state;
  if (s->n_store_calls == s->store_calls_capacity)
    {
      s->store_calls_capacity
          = s->store_calls_capacity > 0 ? 2 * s->store_calls_capacity : 1024;
      s->store_calls
          = kq_realloc (s->store_calls, s->store_calls_capacity * sizeof *s->store_calls);
    }
  s->store_calls[s->n_store_calls] = (StoreCall){ n->index, n->n_starts, op->token };
  op->token = s->n_store_calls++;
  n->store_calls++;
  n->store_bytes += op->value.len;
  kq_store_fake_call (f->store, n->index % KQ_STORE_FAKE_CLIENTS, op, f->now);
}

static void
send_msg (KqTableSim *f, KqTableSimNode *n, KqNodeId to, KqMsg **msg)
{
  int i = index_of (f, to);
  KqBuf b = { 0 };
  if (i < 0 || !f->nodes[i].up || f->cut[n->index][i])
    return;
  KqTableSimNode *r = &f->nodes[i];
  bool table = (*msg)->kind == KQ_MSG_TABLE || (*msg)->kind == KQ_MSG_TABLE_REQUEST;
  if (table && f->drop_table_messages)
    return;
  bool far = r->region != n->region;
  kq_msg_pack (*msg, &b);
  *(far ? &n->far_bytes : &n->near_bytes) += b.len;
  kq_buf_free (&b);
  f->sent_between_regions[n->index][i] = f->sent_between_regions[n->index][i] || far;
  push (f->state, (InTransit){ .at = f->now + (far ? f->far_delay : f->near_delay),
                               .from = n->index,
                               .to = i,
                               .n_starts = r->n_starts,
                               .msg = *msg });
  *msg = NULL;
}

/* Executes the node's store calls, sends its messages and keeps its results. */
static void
run_outbox (KqTableSim *f, KqTableSimNode *n, KqOutbox *out)
{
  KqOut item;
  KqTableResult r;
  while (kq_outbox_take (out, &item))
    {
      if (item.kind == KQ_OUT_STORE)
        call_store (f, n, &item.u.store);
      else if (item.kind == KQ_OUT_SEND)
        send_msg (f, n, item.u.send.to, &item.u.send.msg);
      kq_out_clear (&item);
    }
  kq_outbox_free (out);
  while (kq_table_dist_take_result (n->dist, &r))
    {
      assert (!f->done[r.call]);
      f->results[r.call] = r;
      f->done[r.call] = true;
    }
  uint64_t rev = kq_table_dist_revision (n->dist);
  assert (rev >= n->highest);
  n->highest = rev;
}

static bool
is_running (const KqTableSimNode *n)
{
  return n->up && !n->paused;
}

static void
tick (KqTableSim *f, KqTableSimNode *n)
{
  KqOutbox out = { 0 };
  if (!is_running (n))
    return;
  if (n->member != NULL)
    {
      kq_member_tick (n->member, f->now, &out);
      kq_member_set_digest (n->member, n->digest, n->n_digest,
                            kq_table_dist_revision (n->dist), false);
    }
  kq_table_dist_tick (n->dist, f->now, &out);
  run_outbox (f, n, &out);
}

static void
report_peer_revision (KqTableSim *f, KqTableSimNode *n, KqNodeId id, uint64_t revision,
                      int region)
{
  KqOutbox out = { 0 };
  kq_table_dist_peer_revision (n->dist, id, revision, region != n->region, f->now, &out);
  if (!kq_outbox_empty (&out))
    run_outbox (f, n, &out);
}

/* Models the heartbeats when there are no members. */
static void
model_heartbeats (KqTableSim *f, bool far)
{
  for (int a = 0; a < f->n; a++)
    for (int b = 0; b < f->n; b++)
      {
        KqTableSimNode *from = &f->nodes[a];
        KqTableSimNode *to = &f->nodes[b];
        bool is_far = from->region != to->region;
        if (a == b || is_far != far || !is_running (from) || !is_running (to)
            || f->cut[a][b])
          continue;
        bool differ
            = kq_table_dist_revision (from->dist) != kq_table_dist_revision (to->dist);
        /* Equal revisions only keep the peer alive; every eighth time is enough. */
        if (differ || far || f->state->n_heartbeat_rounds % 8 == 0)
          report_peer_revision (f, to, from->info.id, kq_table_dist_revision (from->dist),
                                from->region);
      }
}

static void
deliver (KqTableSim *f, const InTransit *m)
{
  KqTableSimNode *n = &f->nodes[m->to];
  KqOutbox out = { 0 };
  if (!is_running (n) || n->n_starts != m->n_starts)
    return;
  if (m->msg->kind == KQ_MSG_HEARTBEAT)
    {
      const KqMsgHeartbeat *h = &m->msg->u.heartbeat;
      int i = index_of (f, h->node);
      if (n->member != NULL)
        kq_member_heartbeat (n->member, h, f->now, &out);
      if (i >= 0)
        report_peer_revision (f, n, h->node, h->table_revision, f->nodes[i].region);
    }
  else
    kq_table_dist_message (n->dist, f->nodes[m->from].info.id, m->msg, f->now, &out);
  run_outbox (f, n, &out);
}

static void
deliver_reply (KqTableSim *f, KqStoreReply *r)
{
  StoreCall a = f->state->store_calls[r->token];
  KqTableSimNode *n = &f->nodes[a.node];
  KqOutbox out = { 0 };
  if (!is_running (n) || n->n_starts != a.n_starts)
    return;
  r->token = a.token;
  n->store_bytes += r->value.len;
  for (size_t i = 0; i < r->n_items; i++)
    n->store_bytes += r->items[i].value.len + r->items[i].key.len;
  if (r->part == KQ_PART_MEMBER)
    kq_member_reply (n->member, r, f->now, &out);
  else
    kq_table_dist_reply (n->dist, r, f->now, &out);
  run_outbox (f, n, &out);
}

static void
step (KqTableSim *f)
{
  State *s = f->state;
  KqStoreReply r;
  int client;
  while (kq_store_fake_next (f->store, f->now, &client, &r))
    deliver_reply (f, &r);
  while (s->n_in_transit > 0 && s->in_transit[0].at <= f->now)
    {
      InTransit m = pop (s);
      deliver (f, &m);
      kq_msg_free (m.msg);
    }
  if (f->now >= s->next_tick)
    {
      for (int i = 0; i < f->n; i++)
        tick (f, &f->nodes[i]);
      s->next_tick = f->now + TICK;
    }
  if (!f->members && f->now >= s->next_near_heartbeats)
    {
      model_heartbeats (f, false);
      s->next_near_heartbeats = f->now + NEAR_HEARTBEAT_INTERVAL;
      s->n_heartbeat_rounds++;
    }
  if (!f->members && f->now >= s->next_far_heartbeats)
    {
      model_heartbeats (f, true);
      s->next_far_heartbeats = f->now + FAR_HEARTBEAT_INTERVAL;
    }
}

void
kq_table_sim_run (KqTableSim *f, KqTime span)
{
  State *s = f->state;
  KqTime end = f->now + span;
  while (f->now < end)
    {
      step (f);
      KqTime next = s->next_tick;
      KqTime due = kq_store_fake_next_time (f->store);
      if (due < next)
        next = due;
      if (s->n_in_transit > 0 && s->in_transit[0].at < next)
        next = s->in_transit[0].at;
      f->now = next > f->now ? next : f->now + 1;
      if (f->now > end)
        f->now = end;
    }
}

void
kq_table_sim_kill (KqTableSim *f, int i)
{
  KqTableSimNode *n = &f->nodes[i];
  kq_member_free (n->member);
  kq_table_dist_free (n->dist);
  n->member = NULL;
  n->dist = NULL;
  n->up = false;
}

void
kq_table_sim_start (KqTableSim *f, int i)
{
  KqTableSimNode *n = &f->nodes[i];
  uint64_t seed = kq_hash2 (f->seed, (uint64_t)i * 1000 + (uint64_t)n->n_starts);
  assert (!n->up);
  n->n_starts++;
  n->up = true;
  n->highest = 0;
  n->info.incarnation = (uint64_t)n->n_starts;
  n->dist = kq_table_dist_new (n->info.id, seed);
  if (f->members)
    {
      KqMemberConfig c = { .self = n->info,
                           .lease = 10 * KQ_SEC,
                           .heartbeat_interval = NEAR_HEARTBEAT_INTERVAL };
      c.suspect_after = 2 * KQ_SEC;
      n->member = kq_member_new (&c, seed);
    }
}

KqTableSim *
kq_table_sim_new (uint64_t seed, int nodes, int regions, bool members)
{
  KqTableSim *f = kq_alloc (sizeof *f);
  assert (nodes <= KQ_TABLE_SIM_MAX);
  f->now = KQ_SEC;
  f->seed = seed;
  f->store = kq_store_fake_new (seed);
  f->state = kq_alloc (sizeof *f->state);
  f->n = nodes;
  f->regions = regions;
  f->members = members;
  f->near_delay = 500;
  f->far_delay = 20 * KQ_MS;
  for (int i = 0; i < nodes; i++)
    {
      KqTableSimNode *n = &f->nodes[i];
      char text[32];
      n->index = i;
      n->region = i % regions;
      snprintf (text, sizeof text, "n%d", i);
      n->info.name = kq_name (kq_str (text));
      n->info.id = kq_str_hash (kq_str (text));
      snprintf (text, sizeof text, "r%d", n->region);
      n->info.region = kq_name (kq_str (text));
      n->info.depot = n->info.region;
      snprintf (text, sizeof text, "127.0.0.1:%d", 7000 + i);
      n->info.mesh_address = n->info.operator_address = kq_name (kq_str (text));
      kq_table_sim_start (f, i);
    }
  return f;
}

void
kq_table_sim_free (KqTableSim *f)
{
  for (int i = 0; i < f->n; i++)
    if (f->nodes[i].up)
      kq_table_sim_kill (f, i);
  while (f->state->n_in_transit > 0)
    {
      InTransit m = pop (f->state);
      kq_msg_free (m.msg);
    }
  free (f->state->in_transit);
  free (f->state->store_calls);
  free (f->state);
  kq_store_fake_free (f->store);
  free (f);
}

int
kq_table_sim_change (KqTableSim *f, int node, const KqRowChange *c, size_t n)
{
  KqOutbox out = { 0 };
  int call = f->n_calls++ % 1024;
  f->done[call] = false;
  kq_table_dist_change (f->nodes[node].dist, (uint64_t)call, c, n, f->now, &out);
  run_outbox (f, &f->nodes[node], &out);
  return call;
}

KqTableResult
kq_table_sim_result (KqTableSim *f, int call)
{
  KqTime end = f->now + 20 * KQ_SEC;
  while (!f->done[call] && f->now < end)
    kq_table_sim_run (f, 10 * KQ_MS);
  assert (f->done[call]);
  return f->results[call];
}

KqTime
kq_table_sim_wait (KqTableSim *f, uint64_t revision, KqTime limit)
{
  KqTime start = f->now;
  while (f->now - start <= limit)
    {
      bool all = true;
      for (int i = 0; i < f->n; i++)
        all = all
              && (!is_running (&f->nodes[i])
                  || kq_table_dist_revision (f->nodes[i].dist) >= revision);
      if (all)
        return f->now - start;
      kq_table_sim_run (f, 10 * KQ_MS);
    }
  return -1;
}

KqRowChange
kq_table_sim_row (const char *name, int64_t weight, uint64_t expect)
{
  KqRowChange c
      = { .row = kq_row_default (KQ_ROW_TEAM, kq_str (name)), .expect = expect };
  c.row.u.team.weight = weight;
  return c;
}
