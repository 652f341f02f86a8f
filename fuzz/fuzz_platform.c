#include "agent/frame.h"
#include "fuzz.h"
#include "platform/advice.h"
#include "platform/maintenance.h"
#include "platform/runners.h"
#include "port/source.h"
#include "sched/disturb.h"
#include "sched/sched.h"
#include "settings/fleet_settings.h"

static void
check_runner (void *arg, const KqRunnerEntry *e)
{
  (void)arg;
  kq_fuzz_check (e->room.cpu_milli >= 0 && e->address.len > 0,
                 "a usable entry has an address and no negative resources");
}

/* A key under a prefix; freed by the caller. */
static KqBuf
key_under (KqStr prefix, KqStr rest)
{
  KqBuf b = { 0 };
  kq_buf_add_str (&b, prefix);
  kq_buf_add_str (&b, rest);
  return b;
}

static void
read_config (KqStr text)
{
  bool bad;
  KqBuf key = key_under (kq_source_config_prefix (), KQ_STR ("config"));
  KqQueueTable *t = kq_source_config (kq_buf_str (&key), text, &bad);
  for (size_t i = 0; t != NULL && i < t->n_queues; i++)
    kq_fuzz_check (t->queues[i].service.len > 0, "a queue has a service");
  kq_queue_table_free (t);
  kq_buf_free (&key);
}

static void
read_runner (KqStr text)
{
  KqBuf key = key_under (kq_source_runners_prefix (), KQ_STR ("i-1"));
  const char *bad;
  if (!kq_source_runner (kq_buf_str (&key), text, &bad, check_runner, NULL))
    kq_fuzz_check (bad != NULL, "an unusable entry has a field that makes it so");
  kq_buf_free (&key);
}

static void
read_runner_reply (KqStr text)
{
  json_error_t e;
  json_t *j = json_loadb (text.ptr, text.len, 0, &e);
  KqRunnerReply r = { 0 };
  kq_runner_reply_read (j, &r);
  kq_runner_reply_clear (&r);
  json_decref (j);
}

static void
read_spec (KqStr text)
{
  KqSpec s;
  const char *why;
  if (!kq_spec_unpack (text, &s))
    return;
  kq_fuzz_check (kq_spec_check (&s, &why) == KQ_OK,
                 "a stored job that is accepted is valid");
  kq_spec_clear (&s);
}

static void
read_agent_items (KqStr text)
{
  KqAgentItem i;
  while (kq_agent_item_unpack (&text, &i))
    kq_agent_item_clear (&i);
}

static void
read_disturb (KqStr text)
{
  KqDisturb *d = kq_disturb_new ();
  kq_disturb_unpack (d, text);
  kq_disturb_free (d);
}

static void
read_settings (KqStr text)
{
  KqFleetSettings s;
  KqSettingsFault faults[8];
  kq_fleet_settings_detect (text);
  kq_fleet_settings_parse (text, &s, faults, 8);
}

static void
check_wave (void *arg, const KqWaveInfo *w)
{
  (void)arg;
  kq_fuzz_check (w->cap > 0 && w->number >= 0, "a usable wave has a limit and a number");
}

static void
read_wave (KqStr text)
{
  KqBuf key = key_under (kq_source_waves_prefix (), KQ_STR ("1"));
  kq_source_wave (kq_buf_str (&key), text, check_wave, NULL);
  kq_buf_free (&key);
}

static void
read_advice (KqStr text)
{
  json_error_t e;
  json_t *j = json_loadb (text.ptr, text.len, 0, &e);
  KqAdviceReply r;
  kq_advice_read (200, j, &r);
  kq_advice_clear (&r);
  kq_maintenance_read (409, j, KQ_HTTP_DONE);
  json_decref (j);
}

static void
read_stored_waves (KqStr text)
{
  KqSchedConfig c = { .counters = kq_counters_new () };
  KqSched *s = kq_sched_new (&c, KQ_SEC);
  kq_sched_waves_stored (s, text, KQ_SEC);
  kq_sched_free (s);
  kq_counters_free (c.counters);
}

/* The first byte selects the reader. Readers added after the corpus was made are selected
 * by the highest values, so that the older files still reach the same readers. */
void
kq_fuzz_platform (KqStr data)
{
  static void (*const readers[]) (KqStr)
      = { read_config,      read_runner,  read_runner_reply, read_spec,
          read_agent_items, read_disturb, read_settings };
  static void (*const added_readers[]) (KqStr)
      = { read_wave, read_advice, read_stored_waves };
  size_t n = sizeof readers / sizeof readers[0];
  size_t n_added = sizeof added_readers / sizeof added_readers[0];
  uint8_t first;
  KqStr rest;
  if (data.len == 0)
    return;
  first = (uint8_t)data.ptr[0];
  rest = kq_str_n (data.ptr + 1, data.len - 1);
  if (first > UINT8_MAX - n_added)
    added_readers[UINT8_MAX - first](rest);
  else
    readers[first % n](rest);
}
