#include "fleet/front_counts.h"

#include <stdio.h>

static const char *const reply_names[KQ_REPLY_KINDS]
    = { "done",    "state", "waiting",   "no_job", "no_queue",
        "refused", "bad",   "too_large", "unknown" };

const char *
kq_reply_kind_name (KqReplyKind k)
{
  return reply_names[k];
}

static uint64_t *
refusals (KqCounters *c, const char *why)
{
  char labels[64];
  snprintf (labels, sizeof labels, "why=\"%s\"", why);
  return kq_counter (c, "kq_front_refusals_total", labels,
                     "Requests refused as not run, by reason.");
}

void
kq_front_counts_init (KqFrontCounts *f, KqCounters *c)
{
  char labels[64];
  for (int i = 0; i < KQ_REPLY_KINDS; i++)
    {
      snprintf (labels, sizeof labels, "reply=\"%s\"", reply_names[i]);
      f->replies[i] = kq_counter (c, "kq_front_replies_total", labels,
                                  "Requests of client accounts answered.");
    }
  f->took = kq_histogram (c, "kq_front_answer_ms", "",
                          "Time to answer client accounts' requests.");
  f->refused_store = refusals (c, "store");
  f->refused_start = refusals (c, "no_configuration");
  f->refused_leader = refusals (c, "no_leader");
  f->refused_room = refusals (c, "leader_memory");
  f->refused_overload = refusals (c, "overload");
  f->retried = kq_counter (c, "kq_front_retries_total", "",
                           "Calls to the store repeated for a request.");
  f->from_store = kq_counter (c, "kq_front_store_reads_total", "",
                              "Reads of the store for a request.");
  f->via_leader = kq_counter (c, "kq_front_by_leader_total", "",
                              "Jobs handed in through the leader.");
}
