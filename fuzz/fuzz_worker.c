#include "fuzz.h"

#include "port/worker_json.h"

#include <stdlib.h>

#define CALL_TOKEN 7
#define CALL_EPOCH 3

static void
read_answer (KqStr text, bool ok, KqWorkerCallKind kind)
{
  KqWorkerCall call = { .kind = kind, .token = CALL_TOKEN, .epoch = CALL_EPOCH };
  KqWorkerReply reply = { 0 };
  KqResult r = kq_worker_answer_read (text, ok, &call, &reply);
  if (r == KQ_OK && kind == KQ_WORKER_LEASE)
    {
      for (size_t i = 0; i < reply.n_runners; i++)
        kq_fuzz_check (reply.runners[i].slots >= 0, "a runner's slots aren't negative");
    }
  kq_worker_answer_free (&reply);
}

static void
read_call (KqStr text, KqWorkerCallKind kind)
{
  KqWorkerCall call = { 0 };
  kq_worker_call_read (text, kind, &call);
  free (call.acks);
}

/* The first byte selects the call, and whether its HTTP status was a success. */
void
kq_fuzz_worker (KqStr data)
{
  static const KqWorkerCallKind kinds[]
      = { KQ_WORKER_LEASE, KQ_WORKER_START, KQ_WORKER_STOP, KQ_WORKER_CHECKPOINT,
          KQ_WORKER_THROTTLE };
  size_t n = sizeof kinds / sizeof kinds[0];
  uint8_t first;
  if (data.len == 0)
    return;
  first = (uint8_t)data.ptr[0];
  data = kq_str_n (data.ptr + 1, data.len - 1);
  read_answer (data, first < 128, kinds[first % n]);
  read_call (data, kinds[first % n]);
}
