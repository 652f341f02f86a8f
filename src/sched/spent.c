#include "sched/spent.h"

void
kq_spent_print (const KqSpent *a, KqBuf *out)
{
  kq_buf_printf (out, "waited_ms=%lld slowed_ms=%lld runs=%u failed=%u stopped=%u",
                 (long long)(a->waited / KQ_MS), (long long)(a->slowed / KQ_MS), a->runs,
                 a->failed, a->stopped);
}
