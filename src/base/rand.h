#ifndef KQ_BASE_RAND_H
#define KQ_BASE_RAND_H

/* rand: a seeded pseudorandom generator (splitmix64); the same seed gives the same
 * numbers. Not for secrets. */

#include <stdint.h>

typedef struct
{
  uint64_t state;
} KqRand;

KqRand kq_rand (uint64_t seed);
uint64_t kq_rand_next (KqRand *r);
/* A number from 0 to below - 1; `below` must be greater than 0. */
uint64_t kq_rand_below (KqRand *r, uint64_t below);
double kq_rand_unit (KqRand *r);             /* at least 0, below 1 */
double kq_rand_exp (KqRand *r, double mean); /* exponentially distributed */
/* A random number of the operating system, for seeds, write ids and incarnations. */
uint64_t kq_rand_system (void);

#endif
