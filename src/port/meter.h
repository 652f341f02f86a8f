#ifndef KQ_PORT_METER_H
#define KQ_PORT_METER_H

/* meter: metrics of one kind of platform call: number of answers by result, a latency
 * histogram and the bytes of the bodies, as counters:
 *
 *   kq_PORT_calls_total{kind="...",result="..."}
 *   kq_PORT_latency_ms_bucket{kind="...",le="..."}   (cumulative)
 *   kq_PORT_latency_us_sum{kind="..."}
 *   kq_PORT_body_bytes_total{kind="...",way="out|in"} */

#include "base/counter.h"
#include "base/time.h"

#define KQ_METER_RESULTS_MAX 16
#define KQ_METER_BUCKETS 13

typedef struct
{
  KqCounters *counters;
  const char *port;
  const char *kind;
  struct
  {
    KqResult result;
    uint64_t *count;
  } results[KQ_METER_RESULTS_MAX];
  int n_results;
  uint64_t *buckets[KQ_METER_BUCKETS];
  uint64_t *sum_us;
  uint64_t *bytes_out;
  uint64_t *bytes_in;
} KqMeter;

/* port and kind must stay valid as long as the meter. */
void kq_meter_init (KqMeter *m, KqCounters *c, const char *port, const char *kind);
/* Counts the body of a request that was sent. */
void kq_meter_sent (KqMeter *m, size_t bytes);
/* Counts a call that was sent and has ended: its result, the time it took (span) and the
 * size of the answer's body. */
void kq_meter_answered (KqMeter *m, KqResult r, KqTime span, size_t bytes);
/* Counts a call that was answered without being sent; only its result is counted. */
void kq_meter_unsent (KqMeter *m, KqResult r);

#endif
