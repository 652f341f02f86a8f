#ifndef KQ_BENCH_SLOPES_H
#define KQ_BENCH_SLOPES_H

/* slopes: how memory, CPU time and traffic of a node grow with workers, tasks, peers,
 * starts and requests, as linear fits to measurements of the modules and of real
 * processes. */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define SLOPES_TERMS 7

/* A linear least-squares fit over several terms, by the normal equations. */
typedef struct
{
  const char *name;
  const char *unit;
  int n_terms;
  const char *terms[SLOPES_TERMS];
  double sums[SLOPES_TERMS][SLOPES_TERMS];
  double products[SLOPES_TERMS];
  double y;
  double yy;
  double n;
} SlopesFit;

/* Adds a point: x has n_terms values. */
void slopes_add (SlopesFit *f, const double *x, double y);
/* Returns false if the points don't determine the slopes. r2: coefficient of
 * determination. */
bool slopes_solve (const SlopesFit *f, double *slopes, double *r2);
/* Prints a RESULT line per term and one with r2, which is ok from `wanted_r2` on. */
void slopes_print (const SlopesFit *f, double wanted_r2);
/* Prints a RESULT line; limit 0: none. */
void slopes_result (const char *name, double value, const char *unit, double limit,
                    bool ok);

void slopes_modules (uint64_t seed);
/* Returns false if the processes could not be started. */
bool slopes_live (const char *build);

#endif
