#include "job/learn_record.h"

#include "wire/pack.h"

#define VERSION 1
/* Largest estimate accepted from a record: a million cores in thousandths, or a petabyte
 * in MB. */
#define ESTIMATE_MAX 1e9

/* A cell with less evidence is close to the prior and isn't stored. */
#define EVIDENCE_MIN 3.0F
#define CELL_FIELDS 4 /* packed values per cell */

/* A NaN or a negative number would become a size that fits everywhere, and a worker would
 * be given more than it holds. Such a value is skipped; a damaged hint is no reason to
 * refuse to open the shard. */
static bool
plausible (double v, double min)
{
  return v >= min && v <= ESTIMATE_MAX;
}

static bool
is_stored (const KqCell *c)
{
  return c->evidence >= EVIDENCE_MIN;
}

static size_t
count_cells (const KqClasses *c, const KqInterference *f, uint16_t victim)
{
  size_t n = 0;
  for (int o = 0; o < c->n; o++)
    for (int band = 0; band < KQ_BANDS; band++)
      n += is_stored (&f->cells[victim][o][band]);
  return n;
}

KqRecord
kq_learned_pack (const KqClasses *c, const KqSizes *s, const KqInterference *f,
                 uint16_t class_index, KqBuf *b)
{
  const KqLearnedSize *l = &s->classes[class_index];
  KqPacker p;
  kq_buf_clear (b);
  kq_packer_init (&p, b);
  kq_pack_array (&p, 5);
  kq_pack_name (&p, &c->names[class_index]);
  kq_pack_u64 (&p, l->reports);
  kq_pack_double (&p, l->cpu.estimate);
  kq_pack_double (&p, l->memory.estimate);
  kq_pack_array (&p, CELL_FIELDS * count_cells (c, f, class_index));
  for (int o = 0; o < c->n; o++)
    for (int band = 0; band < KQ_BANDS; band++)
      {
        const KqCell *cell = &f->cells[class_index][o][band];
        if (!is_stored (cell))
          continue;
        kq_pack_name (&p, &c->names[o]);
        kq_pack_u64 (&p, (uint64_t)band);
        kq_pack_double (&p, cell->effect);
        kq_pack_double (&p, cell->evidence);
      }
  return (KqRecord){ KQ_JOB_RECORD_LEARNED, VERSION, kq_buf_str (b) };
}

static void
read_cells (KqReader *r, KqClasses *c, KqInterference *f, uint16_t victim, KqTime now)
{
  KqReader sub;
  kq_read_array (r, &sub);
  while (!sub.bad && sub.left >= CELL_FIELDS)
    {
      KqName other = kq_read_name (&sub);
      uint64_t band = kq_read_u64 (&sub);
      float effect = (float)kq_read_double (&sub);
      float evidence = (float)kq_read_double (&sub);
      if (!sub.bad && band < KQ_BANDS && plausible (effect, -ESTIMATE_MAX)
          && plausible (evidence, 0))
        f->cells[victim][kq_classes_find_or_add (c, &other)][band]
            = (KqCell){ effect, evidence, now };
    }
  kq_read_array_end (r, &sub);
}

KqResult
kq_learned_apply (const KqRecord *rec, KqClasses *c, KqSizes *s, KqInterference *f,
                  KqTime now)
{
  KqUnpacked u;
  KqReader r;
  KqName name;
  KqLearnedSize l = { 0 };
  bool bad;
  if (rec->version != VERSION)
    return KQ_ERR_JOURNAL_VERSION;
  if (!kq_unpacked_open (&u, rec->body, &r))
    return KQ_ERR_JOURNAL_DAMAGED;
  name = kq_read_name (&r);
  l.reports = (uint32_t)kq_read_u64 (&r);
  l.cpu.estimate = kq_read_double (&r);
  l.memory.estimate = kq_read_double (&r);
  if (!r.bad)
    {
      uint16_t i = kq_classes_find_or_add (c, &name);
      if (plausible (l.cpu.estimate, 0) && plausible (l.memory.estimate, 0))
        s->classes[i] = l;
      read_cells (&r, c, f, i, now);
    }
  bad = r.bad;
  kq_unpacked_close (&u);
  return bad ? KQ_ERR_JOURNAL_DAMAGED : KQ_OK;
}
