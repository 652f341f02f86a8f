#include "agent/run_delta.h"

#include <glib.h>

#include <stdlib.h>

typedef struct
{
  bool used;
  bool listed;   /* in the list being encoded */
  uint64_t hash; /* of task and run, to compare faster */
  char *task;
  uint32_t run;
  KqStr checkpoint; /* owned */
  int percent;
  int load;
} Slot;

struct KqRunDeltaState
{
  uint64_t serial;
  GArray *slots;
  GArray *rows; /* KqRunDeltaRow */
  GArray *gone; /* uint32_t */
};

/* More than any runner can have; a higher slot number means a damaged message. */
#define SLOTS_MAX 100000

KqRunDeltaState *
kq_run_delta_state_new (void)
{
  KqRunDeltaState *t = kq_alloc (sizeof *t);
  t->slots = g_array_new (FALSE, TRUE, sizeof (Slot));
  t->rows = g_array_new (FALSE, TRUE, sizeof (KqRunDeltaRow));
  t->gone = g_array_new (FALSE, TRUE, sizeof (uint32_t));
  return t;
}

static Slot *
slot (const KqRunDeltaState *t, guint at)
{
  return &g_array_index (t->slots, Slot, at);
}

static void
clear_slot (Slot *s)
{
  free (s->task);
  kq_str_drop (&s->checkpoint);
  *s = (Slot){ 0 };
}

void
kq_run_delta_state_free (KqRunDeltaState *t)
{
  if (t == NULL)
    return;
  for (guint i = 0; i < t->slots->len; i++)
    clear_slot (slot (t, i));
  g_array_free (t->slots, TRUE);
  g_array_free (t->rows, TRUE);
  g_array_free (t->gone, TRUE);
  free (t);
}

uint64_t
kq_run_delta_serial (const KqRunDeltaState *t)
{
  return t->serial;
}

static uint64_t
hash_of (const KqRunRow *r)
{
  return kq_hash2 (kq_str_hash (r->task), r->run);
}

/* The run's slot, or the first free one if it has none yet. */
static guint
find_slot (const KqRunDeltaState *t, const KqRunRow *r, uint64_t hash)
{
  guint free_slot = t->slots->len;
  for (guint i = 0; i < t->slots->len; i++)
    {
      const Slot *s = slot (t, i);
      if (!s->used)
        free_slot = i < free_slot ? i : free_slot;
      else if (s->hash == hash && s->run == r->run
               && kq_str_eq (kq_str (s->task), r->task))
        return i;
    }
  return free_slot;
}

static void
set_checkpoint (Slot *s, KqStr checkpoint)
{
  kq_str_drop (&s->checkpoint);
  s->checkpoint = kq_str_own (checkpoint);
}

static void
fill_slot (Slot *s, const KqRunRow *r)
{
  s->used = true;
  s->hash = hash_of (r);
  s->task = kq_str_dup (r->task);
  s->run = r->run;
  s->checkpoint = kq_str_own (r->checkpoint);
}

static void
encode_row (const KqRunDeltaState *t, const KqRunRow *r)
{
  KqRunDeltaRow out = { .row = *r };
  guint at = find_slot (t, r, hash_of (r));
  Slot *s;
  if (at == t->slots->len)
    g_array_set_size (t->slots, at + 1);
  s = slot (t, at);
  out.slot = at;
  out.is_new = !s->used;
  s->listed = true;
  if (out.is_new)
    fill_slot (s, r);
  else if (!kq_str_eq (s->checkpoint, r->checkpoint))
    {
      set_checkpoint (s, r->checkpoint);
      out.has_checkpoint = true;
    }
  else if (s->percent == r->percent && s->load == r->load)
    return;
  s->percent = r->percent;
  s->load = r->load;
  g_array_append_val (t->rows, out);
}

void
kq_run_delta_encode (KqRunDeltaState *t, const KqRunRow *rows, size_t n, KqRunDelta *out)
{
  guint before = t->slots->len;
  g_array_set_size (t->rows, 0);
  g_array_set_size (t->gone, 0);
  for (guint i = 0; i < before; i++)
    slot (t, i)->listed = false;
  for (size_t i = 0; i < n; i++)
    encode_row (t, &rows[i]);
  for (guint i = 0; i < before; i++)
    if (slot (t, i)->used && !slot (t, i)->listed)
      {
        clear_slot (slot (t, i));
        g_array_append_val (t->gone, i);
      }
  *out = (KqRunDelta){ .serial = t->serial++,
                       .rows = (const KqRunDeltaRow *)(void *)t->rows->data,
                       .n_rows = t->rows->len,
                       .gone = (const uint32_t *)(void *)t->gone->data,
                       .n_gone = t->gone->len };
}

static bool
apply_row (const KqRunDeltaState *t, const KqRunDeltaRow *r)
{
  Slot *s;
  if (r->slot >= SLOTS_MAX || (!r->is_new && r->slot >= t->slots->len))
    return false;
  if (r->slot >= t->slots->len)
    g_array_set_size (t->slots, r->slot + 1);
  s = slot (t, r->slot);
  if (s->used == r->is_new)
    return false;
  if (r->is_new)
    fill_slot (s, &r->row);
  else if (r->has_checkpoint)
    set_checkpoint (s, r->row.checkpoint);
  s->percent = r->row.percent;
  s->load = r->row.load;
  return true;
}

bool
kq_run_delta_apply (KqRunDeltaState *t, const KqRunDelta *c)
{
  if (c->serial != t->serial)
    return false;
  t->serial++;
  /* Rows come first: the encoder doesn't reuse a slot in the same list that frees it. */
  for (size_t i = 0; i < c->n_rows; i++)
    if (!apply_row (t, &c->rows[i]))
      return false;
  for (size_t i = 0; i < c->n_gone; i++)
    {
      if (c->gone[i] >= t->slots->len || !slot (t, c->gone[i])->used)
        return false;
      clear_slot (slot (t, c->gone[i]));
    }
  return true;
}

size_t
kq_run_delta_list (const KqRunDeltaState *t, KqRunRow **out)
{
  KqRunRow *rows = kq_alloc ((t->slots->len + 1) * sizeof *rows);
  size_t n = 0;
  for (guint i = 0; i < t->slots->len; i++)
    {
      const Slot *s = slot (t, i);
      if (s->used)
        rows[n++]
            = (KqRunRow){ kq_str (s->task), s->run, s->checkpoint, s->percent, s->load };
    }
  *out = rows;
  return n;
}
