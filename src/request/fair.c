#include "request/fair.h"

#include "base/str.h"

#include <assert.h>
#include <stdlib.h>

/* The unit of a tag: 1/TAG_SCALE microseconds of work / weight. With weights up to
 * 1000, a microsecond of work is at least one whole unit. */
#define TAG_SCALE 1000

struct KqFlow
{
  KqMapNode by_id;
  KqHeapNode by_tag; /* in the parent's `active`, or in the root's `idle_callers` */
  KqFlow *parent;    /* NULL: the root */
  uint64_t id;
  int64_t tag;          /* finish tag */
  int64_t virtual_time; /* start tag of the child served last */
  int64_t weight;
  size_t queued; /* items of the flow and its children */
  int64_t work;  /* expected work of these items, microseconds */
  KqHeap active; /* children that have something queued */
  KqHeap items;  /* of a leaf: its items by deadline */
};

void
kq_fair_init (KqFairQueue *f)
{
  *f = (KqFairQueue){ 0 };
  f->root = kq_alloc (sizeof (KqFlow));
}

static KqFlow *
find_flow (const KqFairQueue *f, const KqFlow *parent, uint64_t id)
{
  KqMapNode *n = kq_map_find (&f->flows, kq_hash2 (parent->id, id));
  for (; n != NULL; n = kq_map_next (n))
    {
      KqFlow *flow = n->container;
      if (flow->parent == parent && flow->id == id)
        return flow;
    }
  return NULL;
}

static KqFlow *
get_flow (KqFairQueue *f, KqFlow *parent, uint64_t id, int64_t weight)
{
  KqFlow *flow = find_flow (f, parent, id);
  if (flow == NULL)
    {
      flow = kq_alloc (sizeof *flow);
      flow->parent = parent;
      flow->id = id;
      flow->tag = parent->virtual_time;
      kq_map_add (&f->flows, &flow->by_id, kq_hash2 (parent->id, id), flow);
    }
  if (flow->queued == 0)
    flow->weight = weight > 0 ? weight : 1;
  return flow;
}

static void
free_flow (KqFairQueue *f, KqFlow *flow)
{
  kq_map_remove (&f->flows, &flow->by_id);
  kq_heap_free (&flow->active);
  kq_heap_free (&flow->items);
  free (flow);
}

static bool
is_caller (const KqFairQueue *f, const KqFlow *flow)
{
  return flow->parent == f->root;
}

/* Frees idle callers whose tag the virtual time has reached; all of them if nothing is
 * queued. */
static void
free_caught_up_callers (KqFairQueue *f)
{
  KqHeapNode *top;
  while ((top = kq_heap_top (&f->idle_callers)) != NULL
         && (f->queued == 0 || top->key <= f->root->virtual_time))
    {
      kq_heap_remove (&f->idle_callers, top);
      free_flow (f, top->container);
    }
}

void
kq_fair_free (KqFairQueue *f)
{
  assert (f->queued == 0);
  free_caught_up_callers (f);
  assert (f->flows.n == 0);
  kq_map_free (&f->flows);
  kq_heap_free (&f->idle_callers);
  kq_heap_free (&f->root->active);
  free (f->root);
  f->root = NULL;
}

KqFairShare
kq_fair_share (const KqFairQueue *f, uint64_t caller, uint64_t key)
{
  const KqFlow *flow = find_flow (f, f->root, caller);
  KqFairShare share = { 0 };
  if (flow == NULL)
    return share;
  share.queued = flow->queued;
  share.work = flow->work;
  share.active_keys = (int64_t)flow->active.n;
  flow = find_flow (f, flow, key);
  if (flow != NULL)
    {
      share.key_queued = flow->queued;
      share.key_work = flow->work;
    }
  return share;
}

static const KqFairItem *
first_item (const KqFlow *flow)
{
  while (flow->active.n > 0)
    flow = kq_heap_top (&flow->active)->container;
  return kq_heap_top (&flow->items)->container;
}

/* Start tag of the flow's next item. */
static int64_t
start_tag (const KqFairQueue *f, const KqFlow *flow)
{
  const KqFairItem *head = first_item (flow);
  int64_t arrived = is_caller (f, flow) ? head->caller_arrival : head->key_arrival;
  int64_t ahead = flow->tag - f->burst * TAG_SCALE / flow->weight;
  return arrived > ahead ? arrived : ahead;
}

/* Updates the flow's place in its parent's heap. Among equal tags, the request that
 * arrived first is served first. Equal tags are common, because the virtual time doesn't
 * advance between two requests served. */
static void
update_tag (KqFairQueue *f, KqFlow *flow)
{
  flow->by_tag.order = first_item (flow)->by_deadline.order;
  kq_heap_set_key (&flow->parent->active, &flow->by_tag, start_tag (f, flow));
}

/* Called when the flow gets its first queued item: adds it to its parent's heap. */
static void
activate (KqFairQueue *f, KqFlow *flow)
{
  if (flow->by_tag.index > 0)
    kq_heap_remove (&f->idle_callers, &flow->by_tag);
  kq_heap_add (&flow->parent->active, &flow->by_tag, 0, f->order++, flow);
  if (is_caller (f, flow))
    f->active_weight += flow->weight;
}

/* Called when the flow has nothing queued any more. A key's flow is freed at once: the
 * tag of its caller, which is kept, protects other callers. */
static void
deactivate (KqFairQueue *f, KqFlow *flow)
{
  kq_heap_remove (&flow->parent->active, &flow->by_tag);
  if (!is_caller (f, flow))
    {
      free_flow (f, flow);
      return;
    }
  f->active_weight -= flow->weight;
  kq_heap_add (&f->idle_callers, &flow->by_tag, flow->tag, f->order++, flow);
}

static void
add_to_totals (KqFairQueue *f, KqFlow *leaf, int items, int64_t work)
{
  f->queued += (size_t)items;
  f->work += work;
  for (KqFlow *flow = leaf; flow->parent != NULL; flow = flow->parent)
    {
      flow->queued += (size_t)items;
      flow->work += work;
    }
}

void
kq_fair_push (KqFairQueue *f, KqFairItem *item, uint64_t caller, int64_t weight,
              uint64_t key, KqTime deadline)
{
  KqFlow *parent = get_flow (f, f->root, caller, weight);
  KqFlow *leaf = get_flow (f, parent, key, 1);
  assert (item->cost > 0);
  item->leaf = leaf;
  item->caller_arrival = f->root->virtual_time;
  item->key_arrival = parent->virtual_time;
  kq_heap_add (&leaf->items, &item->by_deadline, deadline, f->order++, item);
  if (leaf->queued == 0)
    activate (f, leaf);
  update_tag (f, leaf);
  if (parent->queued == 0)
    activate (f, parent);
  update_tag (f, parent);
  add_to_totals (f, leaf, 1, item->cost);
}

KqFairItem *
kq_fair_first (const KqFairQueue *f)
{
  return f->queued > 0 ? (KqFairItem *)first_item (f->root) : NULL;
}

static void
charge_flow (KqFairQueue *f, KqFlow *flow, int64_t cost)
{
  int64_t tag = start_tag (f, flow);
  if (flow->parent->virtual_time < tag)
    flow->parent->virtual_time = tag;
  if (flow->tag < tag)
    flow->tag = tag;
  flow->tag += cost * TAG_SCALE / flow->weight;
}

void
kq_fair_take (KqFairQueue *f, KqFairItem *item)
{
  charge_flow (f, item->leaf, item->cost);
  charge_flow (f, item->leaf->parent, item->cost);
  kq_fair_remove (f, item);
}

void
kq_fair_remove (KqFairQueue *f, KqFairItem *item)
{
  KqFlow *leaf = item->leaf;
  KqFlow *caller = leaf->parent;
  kq_heap_remove (&leaf->items, &item->by_deadline);
  add_to_totals (f, leaf, -1, -item->cost);
  item->leaf = NULL;
  if (leaf->queued == 0)
    deactivate (f, leaf);
  else
    update_tag (f, leaf);
  if (caller->queued == 0)
    deactivate (f, caller);
  else
    update_tag (f, caller);
  free_caught_up_callers (f);
}

/* Charges at most one burst, so that one stuck request doesn't lock out its caller. */
void
kq_fair_correct (KqFairQueue *f, uint64_t caller, int64_t extra)
{
  KqFlow *flow = find_flow (f, f->root, caller);
  if (flow == NULL)
    return;
  if (extra > f->burst)
    extra = f->burst;
  flow->tag += extra * TAG_SCALE / flow->weight;
  if (flow->queued > 0)
    update_tag (f, flow);
  else
    kq_heap_set_key (&f->idle_callers, &flow->by_tag, flow->tag);
}
