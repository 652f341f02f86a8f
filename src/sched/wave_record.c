/* wave_record: the stored form of the waves' progress, for the next leader. */

#include "sched/maintenance.h"

#include "wire/pack.h"

/* Version of the stored format, its first field. */
#define FORMAT_VERSION 1

bool
kq_sched_waves_pending (const KqSched *s)
{
  return s->waves_dirty;
}

void
kq_sched_waves_pack (KqSched *s, KqBuf *out)
{
  KqPacker p;
  kq_packer_init (&p, out);
  kq_pack_array (&p, 1 + (size_t)s->waves->len);
  kq_pack_i64 (&p, FORMAT_VERSION);
  for (guint i = 0; i < s->waves->len; i++)
    {
      const KqWave *w = g_ptr_array_index (s->waves, i);
      size_t begun = 0;
      for (size_t k = 0; k < w->n_hosts; k++)
        begun += kq_wave_host_is_done (&w->hosts[k]);
      kq_pack_array (&p, 3 + begun);
      kq_pack_i64 (&p, w->number);
      kq_pack_i64 (&p, w->ends_wall_ms);
      kq_pack_bool (&p, w->completed);
      for (size_t k = 0; k < w->n_hosts; k++)
        if (kq_wave_host_is_done (&w->hosts[k]))
          kq_pack_str (&p, kq_str (w->hosts[k].host));
    }
  s->waves_dirty = false;
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

bool
kq_sched_waves_stored (KqSched *s, KqStr stored)
{
  KqUnpacked u;
  KqReader r;
  bool good;
  if (!kq_unpacked_open (&u, stored, &r))
    return false;
  good = kq_read_i64 (&r) == FORMAT_VERSION;
  while (good && !r.bad && r.left > 0)
    {
      KqReader one;
      KqWave *w;
      kq_read_array (&r, &one);
      w = kq_wave_get (s, kq_read_i64 (&one));
      w->ends_wall_ms = kq_read_i64 (&one);
      w->completed = kq_read_bool (&one);
      while (!one.bad && one.left > 0)
        kq_wave_add_host (w, kq_read_str (&one))->phase = KQ_HOST_BACK;
      kq_read_array_end (&r, &one);
    }
  good = good && !r.bad;
  kq_unpacked_close (&u);
  return good;
}
