#include "sched/spent.h"

void
kq_spent_print (const KqSpent *s, KqBuf *out)
{
  kq_buf_printf (out, "waited_ms=%lld slowed_ms=%lld runs=%u failed=%u stopped=%u",
                 (long long)(s->waited / KQ_MS), (long long)(s->slowed / KQ_MS), s->runs,
                 s->failed, s->stopped);
}
