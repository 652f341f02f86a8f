#ifndef KQ_BASE_COUNTER_H
#define KQ_BASE_COUNTER_H

/* counter: the program's metrics, printed in the Prometheus text format.
 *
 * A counter is looked up once by name and labels and then changed through its pointer,
 * which stays valid until the registry is freed. Names begin with kq_; labels are given
 * as they are printed, for example service="tag-watch". A gauge is a counter that is set
 * instead of added to. */

#include "base/result.h"
#include "base/str.h"

#include <stdint.h>

typedef struct KqCounters KqCounters;

KqCounters *kq_counters_new (void);
void kq_counters_free (KqCounters *c);
/* Returns the counter of that name and labels ("": none); creates it at the first call.
 * The help text of the first call is used. The strings are copied. */
uint64_t *kq_counter (KqCounters *c, const char *name, const char *labels,
                      const char *help);
/* Adds one to the counter of a result code: kq_results_total{code="603",name="..."}. To
 * be called once for each refusal, retry or fault, with the code of its reason. */
void kq_counter_result (KqCounters *c, KqResult r);
uint64_t kq_counter_of_result (const KqCounters *c, KqResult r);
void kq_counters_print (const KqCounters *c, KqBuf *out);

#endif
