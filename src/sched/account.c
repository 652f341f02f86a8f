#include "sched/account.h"

void
kq_account_print (const KqAccount *a, KqBuf *out)
{
  kq_buf_printf (out, "waited_ms=%lld slowed_ms=%lld runs=%u failed=%u stopped=%u",
                 (long long)(a->waited / KQ_MS), (long long)(a->slowed / KQ_MS), a->runs,
                 a->failed, a->stopped);
}
