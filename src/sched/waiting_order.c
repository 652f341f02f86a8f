#include "sched/waiting_order.h"

#include "base/str.h"
#include "request/heap.h"

#include <stdlib.h>

typedef struct
{
  KqHeapNode node;
  KqWaitingJob *job;
  bool ahead_of_class; /* the items are sorted by this, then by key */
  KqTime key;
  size_t number;
} Item;

/* Work and number of the jobs that come before the next one. */
typedef struct
{
  int64_t work;
  int64_t jobs;
} Ahead;

/* One stage: jobs that fit before an end, either of the objective or of the use. */
typedef struct
{
  const KqWaitingLoad *load;
  KqWaitingClass class; /* of those that fit; its key is the end */
  KqHeap taken;         /* the job to be deferred next is at the top */
  int64_t ahead;
  int64_t least_ahead; /* work ahead if all but those that came back were deferred */
} Stage;

const char *
kq_waiting_class_name (KqWaitingClass c)
{
  static const char *const names[] = { "in_time", "deferred", "no_use" };
  return names[c];
}

KqTime
kq_waiting_key (const KqWaitingJob *j, KqWaitingClass c)
{
  switch (c)
    {
    case KQ_WAITING_IN_TIME:
      return j->due;
    case KQ_WAITING_DEFERRED:
      return j->use_end;
    case KQ_WAITING_NO_USE:
      break;
    }
  return j->accepted;
}

static int
compare_items (const void *a, const void *b)
{
  const Item *x = a;
  const Item *y = b;
  if (x->ahead_of_class != y->ahead_of_class)
    return x->ahead_of_class ? -1 : 1;
  if (x->key != y->key)
    return x->key < y->key ? -1 : 1;
  return x->number < y->number ? -1 : 1;
}

static void
sort_items (Item *items, size_t n, KqWaitingClass c)
{
  for (size_t i = 0; i < n; i++)
    {
      items[i].ahead_of_class = c == KQ_WAITING_IN_TIME && items[i].job->begun;
      items[i].key = kq_waiting_key (items[i].job, c);
    }
  if (n > 0)
    qsort (items, n, sizeof *items, compare_items);
}

/* Longer forecast waits, some 30 years, count as this: times don't overflow. */
#define WAIT_MAX_MS ((int64_t)1000000000000)

static KqTime
forecast_end (const KqWaitingLoad *load, const KqWaitingJob *j, int64_t ahead)
{
  int64_t wait_ms = ahead / load->rate;
  if (wait_ms > WAIT_MAX_MS)
    wait_ms = WAIT_MAX_MS;
  return load->now + (wait_ms + j->chain_ms) * KQ_MS;
}

static bool
fits (const Stage *st, const Item *i, int64_t ahead)
{
  return forecast_end (st->load, i->job, ahead) <= kq_waiting_key (i->job, st->class);
}

/* The lowest key is deferred first; of equal ones the one whose end comes last. Jobs that
 * haven't begun come before those that have, and these before those that came back. */
static int64_t
deferral_key (const Stage *st, const Item *i)
{
  int64_t size = st->load->rule == KQ_DEFER_LARGEST ? i->job->work : (int64_t)i->job->due;
  if (size < 0) /* an objective that ended before the host's boot */
    size = 0;
  if (i->job->returned)
    return INT64_MAX - size;
  return i->job->begun ? INT64_MAX / 2 - size : -size;
}

static void
defer (Stage *st, Item *i)
{
  kq_heap_remove (&st->taken, &i->node);
  st->ahead -= i->job->work;
  if (i->job->returned)
    st->least_ahead -= i->job->work;
  i->job->place.class = st->class + 1;
}

/* Takes the job, and defers one if it would be late: the one at the top of the heap if
 * the job then fits, else the job itself. To defer several for one would make more jobs
 * late, so it is done only for one that came back. */
static void
take (Stage *st, Item *i)
{
  int64_t before = st->ahead;
  bool defer_several = i->job->returned && fits (st, i, st->least_ahead);
  i->job->place.class = st->class;
  kq_heap_add (&st->taken, &i->node, deferral_key (st, i), UINT64_MAX - (uint64_t)i->key,
               i);
  st->ahead += i->job->work;
  if (i->job->returned)
    st->least_ahead += i->job->work;
  while (!fits (st, i, before))
    {
      Item *top = kq_heap_top (&st->taken)->container;
      bool may_replace = top != i && top->job->returned <= i->job->returned
                         && (fits (st, i, before - top->job->work)
                             || (defer_several && !top->job->returned));
      if (!may_replace)
        {
          defer (st, i);
          return;
        }
      before -= top->job->work;
      defer (st, top);
    }
}

/* Decides which of the items, sorted by the end, fit. The others get the next class. */
static void
run_stage (const KqWaitingLoad *load, KqWaitingClass c, Item *items, size_t n,
           int64_t ahead)
{
  Stage st = { .load = load, .class = c, .ahead = ahead, .least_ahead = ahead };
  for (size_t i = 0; i < n; i++)
    if (fits (&st, &items[i], ahead))
      take (&st, &items[i]);
    else
      items[i].job->place.class = c + 1; /* late whatever is deferred */
  kq_heap_free (&st.taken);
}

/* Moves the items of the class to the front, in their order, and sets what is ahead of
 * each. Returns how many there are. */
static size_t
settle_class (const KqWaitingLoad *load, KqWaitingClass c, Item *items, size_t n,
              Ahead *ahead)
{
  Item *others = kq_alloc ((n + 1) * sizeof *others);
  size_t kept = 0;
  size_t n_others = 0;
  for (size_t i = 0; i < n; i++)
    {
      KqWaitingJob *j = items[i].job;
      if (j->place.class != c)
        {
          others[n_others++] = items[i];
          continue;
        }
      j->place.work_ahead = ahead->work;
      j->place.jobs_ahead = ahead->jobs++;
      j->place.ahead_of_class = items[i].ahead_of_class;
      j->place.forecast_end = forecast_end (load, j, ahead->work);
      ahead->work += j->work;
      items[kept++] = items[i];
    }
  for (size_t i = 0; i < n_others; i++)
    items[kept + i] = others[i];
  free (others);
  return kept;
}

void
kq_waiting_order (KqWaitingJob *jobs, size_t n, const KqWaitingLoad *load)
{
  Item *items = kq_alloc ((n + 1) * sizeof *items);
  Ahead ahead = { load->work_ahead, load->jobs_ahead };
  size_t first = 0;
  for (size_t i = 0; i < n; i++)
    items[i] = (Item){ .job = &jobs[i], .number = i };
  for (int c = KQ_WAITING_IN_TIME; c <= KQ_WAITING_NO_USE; c++)
    {
      sort_items (items + first, n - first, (KqWaitingClass)c);
      if (c < KQ_WAITING_NO_USE)
        run_stage (load, (KqWaitingClass)c, items + first, n - first, ahead.work);
      first += settle_class (load, (KqWaitingClass)c, items + first, n - first, &ahead);
    }
  free (items);
}
