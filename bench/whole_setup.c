#include "whole_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
write_hosts (KqWhole *w, const char *depot, int first, int n)
{
  KqBuf text = { 0 };
  char key[32];
  kq_buf_printf (&text, "{\"hosts\":[");
  for (int i = first; i < first + n; i++)
    kq_buf_printf (&text,
                   "%s{\"name\":\"w%d\",\"region\":\"%s\",\"depot\":\"%s\",\"rack\":"
                   "\"r%d\",\"address\":\"http://x/w%d\",\"state\":\"live\",\"size\":"
                   "{\"cpu_milli\":4000,\"memory_mb\":4000,\"accelerators\":0},"
                   "\"runners\":[]}",
                   i > first ? "," : "", i, i < 4 ? "a" : "b", depot, i, i);
  kq_buf_printf (&text, "]}");
  snprintf (key, sizeof key, "%s", depot);
  kq_store_fake_set (w->store, kq_str (key), kq_buf_str (&text), 0);
  kq_buf_free (&text);
}

static void
fill_settings (KqSettings *s, int i)
{
  char name[16];
  bool a = i < 3;
  snprintf (name, sizeof name, "n%d", i);
  s->node = kq_name (kq_str (name));
  s->cluster = kq_name (KQ_STR ("soak"));
  s->region = kq_name (a ? KQ_STR ("a") : KQ_STR ("b"));
  s->depot = kq_name (a ? KQ_STR ("da") : KQ_STR ("db"));
  s->regions[0] = (KqRegionSetting){ kq_name (KQ_STR ("a")), 2 };
  s->regions[1] = (KqRegionSetting){ kq_name (KQ_STR ("b")), 2 };
  s->n_regions = 2;
  s->depots[0] = s->depot;
  s->n_depots = 1;
  s->node_lease_ms = 6000;
  s->worker_lease_ms = 6000;
  s->heartbeat_ms = 500;
  s->blind_ms = 600000;
  s->stop_ms = 10000;
}

KqWhole *
kq_whole_new (uint64_t seed)
{
  KqWhole *w = kq_alloc (sizeof *w);
  w->rand = kq_rand (seed);
  w->now = 1000 * KQ_SEC;
  w->fault_node = -1;
  w->store = kq_store_fake_new (seed + 1);
  write_hosts (w, "da", 0, 4);
  write_hosts (w, "db", 4, 2);
  for (int i = 0; i < WORKERS; i++)
    {
      char name[16];
      snprintf (name, sizeof name, "w%d", i);
      kq_fake_worker_init (&w->workers[i], kq_str_hash (kq_str (name)),
                           (KqSize){ 4000, 4000, 0 });
    }
  for (int i = 0; i < NODES; i++)
    {
      fill_settings (&w->nodes[i].settings, i);
      w->nodes[i].id = kq_str_hash (kq_name_str (&w->nodes[i].settings.node));
      kq_whole_start (w, i);
    }
  return w;
}

void
kq_whole_free (KqWhole *w)
{
  while (w->n_events > 0)
    {
      KqWholeEvent e = kq_whole_take_event (w);
      kq_msg_free (e.msg);
      free (e.call.acks);
      kq_fake_reply_clear (&e.reply);
    }
  for (int i = 0; i < NODES; i++)
    {
      kq_core_free (w->nodes[i].core);
      kq_outbox_free (&w->nodes[i].out);
    }
  for (int i = 0; i < WORKERS; i++)
    kq_fake_worker_clear (&w->workers[i]);
  kq_store_fake_free (w->store);
  free (w->events);
  free (w->jobs);
  free (w);
}

/* Writes a table of one team, one class and one service through node 0, after the time
 * that the nodes need to start. */
void
kq_whole_set_table (KqWhole *w)
{
  KqRowChange c[3] = { { .row = kq_row_default (KQ_ROW_TEAM, KQ_STR ("rounds")) },
                       { .row = kq_row_default (KQ_ROW_CLASS, KQ_STR ("plan")) },
                       { .row = kq_row_default (KQ_ROW_SERVICE, KQ_STR ("seal")) } };
  kq_whole_advance (w, 3 * KQ_SEC);
  kq_core_change_table (w->nodes[0].core, 1, c, 3, w->now, &w->nodes[0].out);
  kq_whole_run_outbox (w, 0);
  kq_whole_advance (w, 5 * KQ_SEC);
}
