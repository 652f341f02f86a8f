/* store_test: the project's stand-in for the store, with answers of writes that are lost
 * and writes that are carried out seconds later. */

#define kq_platform_kv_new kq_platform_kv_new_plain
#include "../standin/platform_kv.c"
#undef kq_platform_kv_new

#include "store_test.h"

typedef struct
{
  ev_timer timer;
  KqPlatformKv *kv;
  json_t *txn;
} LateWrite;

static char lost_text[64]; /* writes that hold this are lost; "": none */
static int64_t late_ms;
static int n_writes;
static int n_lost;
static void (*late_done) (bool carried_out);

void
store_lose_writes (const char *text, int64_t ms, void (*done) (bool carried_out))
{
  snprintf (lost_text, sizeof lost_text, "%s", text);
  late_ms = ms;
  late_done = done;
  n_writes = n_lost = 0;
}

void
store_counts (int *writes, int *lost)
{
  *writes = n_writes;
  *lost = n_lost;
}

/* Carries a write out if its conditions still hold. */
static void
on_late_write (struct ev_loop *ev, ev_timer *w, int events)
{
  LateWrite *l = w->data;
  KqPlatformKv *kv = l->kv;
  const json_t *puts = json_object_get (l->txn, "puts");
  json_t *current = json_array ();
  bool hold = preconditions_hold (kv, json_object_get (l->txn, "precondition"), current);
  (void)ev;
  (void)events;
  if (hold)
    kv->revision++;
  for (size_t i = 0; hold && i < json_array_size (puts); i++)
    {
      const json_t *p = json_array_get (puts, i);
      put_item (kv, json_string_value (json_object_get (p, "key")),
                json_string_value (json_object_get (p, "value")), 0);
    }
  answer_watches (kv);
  late_done (hold);
  json_decref (current);
  json_decref (l->txn);
  free (l);
}

static void
handle (void *arg, KqWebCall *c)
{
  KqPlatformKv *kv = arg;
  LateWrite *l;
  bool is_write = kq_web_is (c, "POST", "/kv-txn");
  n_writes += is_write;
  if (!is_write || lost_text[0] == '\0' || strstr (c->body.ptr, lost_text) == NULL)
    {
      on_handle (kv, c);
      return;
    }
  n_lost++;
  l = kq_alloc (sizeof *l);
  l->kv = kv;
  l->txn = kq_json_parse (kq_buf_str (&c->body));
  ev_timer_init (&l->timer, on_late_write, (double)late_ms / 1000, 0);
  l->timer.data = l;
  ev_timer_start (kq_loop_ev (kv->loop), &l->timer);
}

KqPlatformKv *
kq_platform_kv_new (KqLoop *loop)
{
  KqPlatformKv *kv = kq_alloc (sizeof *kv);
  KqWebApp app = { .arg = kv, .handle = handle, .finished = on_finished };
  kv->loop = loop;
  kv->items = g_tree_new_full (compare_keys, NULL, free, free_item);
  kv->history = g_queue_new ();
  kv->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free);
  kv->watches = g_ptr_array_new ();
  kv->revision = 1;
  kv->web = kq_web_new (loop, 0, "store", &app);
  ev_timer_init (&kv->lease_check, on_lease_check, LEASE_CHECK_INTERVAL_S,
                 LEASE_CHECK_INTERVAL_S);
  kv->lease_check.data = kv;
  ev_timer_start (kq_loop_ev (loop), &kv->lease_check);
  return kv;
}
