#ifndef KQ_BENCH_LOAD_PATTERNS_H
#define KQ_BENCH_LOAD_PATTERNS_H

/* load_patterns: runs patterns of request load, each with the safeguards of a service row
 * on and off, and prints figures with their limits as RESULT lines. load_costs: measures
 * the processor time per request of the dispatcher and of the choice of owner. */

#include <stdint.h>

/* Prints "RESULT name value unit limit ok|short"; ok: `value` is at most `limit`, or at
 * least if `at_least` is set. */
void load_result (const char *name, double value, const char *unit, double limit,
                  int at_least);
void load_run_patterns (uint64_t seed);
void load_run_costs (uint64_t seed);

#endif
