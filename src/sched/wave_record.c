/* wave_record: the stored form of the waves' progress, for the next leader. */

#include "sched/maintenance.h"

#include "base/result.h"
#include "wire/pack.h"

/* Version of the stored format, its first field. */
#define FORMAT_VERSION 2
/* Names only hosts that have gone down, as strings. */
#define FORMAT_VERSION_1 1

/* A host's state in the stored form. The numbers are part of the format. */
typedef enum
{
  RECORD_CALLED = 1, /* a call for it may have been made */
  RECORD_DOWN = 2,   /* a call for it was answered */
  RECORD_BACK = 3,   /* it is in use again, or gone for good */
  RECORD_NONE = 4    /* it isn't named */
} RecordState;

/* Of a completed wave only the hosts that aren't back are named: the record holds all
 * waves for good. */
static RecordState
state_of (const KqWave *w, const KqWaveHost *h)
{
  if (h->phase == KQ_HOST_DOWN)
    return RECORD_DOWN;
  if (h->phase == KQ_HOST_BACK)
    return w->completed ? RECORD_NONE : RECORD_BACK;
  return kq_wave_host_may_be_called (h) ? RECORD_CALLED : RECORD_NONE;
}

bool
kq_sched_waves_pending (const KqSched *s)
{
  return s->waves_dirty && !s->waves_unreadable;
}

static void
pack_wave (KqPacker *p, KqWave *w)
{
  size_t n = 0;
  for (size_t i = 0; i < w->n_hosts; i++)
    n += state_of (w, &w->hosts[i]) != RECORD_NONE;
  kq_pack_array (p, 3 + n);
  kq_pack_i64 (p, w->number);
  kq_pack_i64 (p, w->ends_wall_ms);
  kq_pack_bool (p, w->completed);
  for (size_t i = 0; i < w->n_hosts; i++)
    {
      KqWaveHost *h = &w->hosts[i];
      RecordState state = state_of (w, h);
      h->packed = state == RECORD_CALLED;
      /* This record may replace one that names the host even if no answer comes. */
      h->recorded = h->recorded && h->packed;
      if (state == RECORD_NONE)
        continue;
      kq_pack_array (p, 2);
      kq_pack_str (p, kq_str (h->host));
      kq_pack_i64 (p, state);
    }
}

void
kq_sched_waves_pack (KqSched *s, KqBuf *out)
{
  KqPacker p;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 1 + (size_t)s->waves->len);
  kq_pack_i64 (&p, FORMAT_VERSION);
  for (guint i = 0; i < s->waves->len; i++)
    pack_wave (&p, g_ptr_array_index (s->waves, i));
  s->waves_dirty = false;
}

void
kq_sched_waves_written (KqSched *s)
{
  for (guint i = 0; i < s->waves->len; i++)
    {
      KqWave *w = g_ptr_array_index (s->waves, i);
      for (size_t k = 0; k < w->n_hosts; k++)
        {
          KqWaveHost *h = &w->hosts[k];
          if (h->packed && !h->recorded)
            s->next_check_at = 0; /* its call can be made */
          h->recorded = h->packed;
        }
    }
}

void
kq_sched_waves_failed (KqSched *s)
{
  s->waves_dirty = true;
}

void
kq_sched_waves_each (const KqSched *s,
                     void (*take) (void *arg, int64_t number, bool completed), void *arg)
{
  for (guint i = 0; i < s->waves->len; i++)
    {
      const KqWave *w = g_ptr_array_index (s->waves, i);
      if (w->requested)
        take (arg, w->number, w->completed);
    }
}

static void
read_host (KqWave *w, KqReader *r, KqTime now)
{
  KqReader one;
  KqWaveHost *h;
  int64_t state;
  kq_read_array (r, &one);
  h = kq_wave_add_host (w, kq_read_str (&one));
  state = kq_read_i64 (&one);
  kq_read_array_end (r, &one);
  h->since = h->drained_since = now;
  switch (state)
    {
    case RECORD_CALLED:
      h->phase = KQ_HOST_DRAINING;
      h->recorded = h->outstanding = true;
      break;
    case RECORD_DOWN:
      h->phase = KQ_HOST_DOWN;
      break;
    case RECORD_BACK:
      h->phase = KQ_HOST_BACK;
      break;
    default:
      r->bad = true;
    }
}

static bool
read_record (KqSched *s, KqReader *r, int64_t version, KqTime now)
{
  if (version != FORMAT_VERSION && version != FORMAT_VERSION_1)
    return false;
  while (!r->bad && r->left > 0)
    {
      KqReader one;
      KqWave *w;
      kq_read_array (r, &one);
      w = kq_wave_get (s, kq_read_i64 (&one));
      w->ends_wall_ms = kq_read_i64 (&one);
      w->completed = kq_read_bool (&one);
      while (!one.bad && one.left > 0)
        if (version == FORMAT_VERSION)
          read_host (w, &one, now);
        else
          kq_wave_add_host (w, kq_read_str (&one))->phase = KQ_HOST_BACK;
      kq_read_array_end (r, &one);
    }
  return !r->bad;
}

bool
kq_sched_waves_stored (KqSched *s, KqStr stored, KqTime now)
{
  KqUnpacked u;
  KqReader r;
  int64_t version = 0;
  bool good = false;
  if (kq_unpacked_open (&u, stored, &r))
    {
      version = kq_read_i64 (&r);
      good = read_record (s, &r, version, now);
      kq_unpacked_close (&u);
    }
  s->waves_unreadable = !good;
  if (!good)
    kq_log (KQ_LOG_ERROR, PART,
            "The waves' record can't be read; it stays as it is, and no host is taken "
            "down. error=%d version=%lld bytes=%zu",
            KQ_ERR_JOURNAL_VERSION, (long long)version, stored.len);
  return good;
}
