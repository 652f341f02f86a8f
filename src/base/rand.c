#include "base/rand.h"

#include "base/time.h"

#include <assert.h>
#include <math.h>
#include <sys/random.h>
#include <unistd.h>

KqRand
kq_rand (uint64_t seed)
{
  return (KqRand){ seed };
}

uint64_t
kq_rand_next (KqRand *r)
{
  uint64_t z = (r->state += 0x9e3779b97f4a7c15U);
  z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
  z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
  return z ^ (z >> 31);
}

uint64_t
kq_rand_below (KqRand *r, uint64_t below)
{
  assert (below > 0);
  return kq_rand_next (r) % below;
}

double
kq_rand_unit (KqRand *r)
{
  return (double)(kq_rand_next (r) >> 11) / (double)(1ULL << 53);
}

double
kq_rand_exp (KqRand *r, double mean)
{
  return -mean * log (1.0 - kq_rand_unit (r));
}

uint64_t
kq_rand_system (void)
{
  uint64_t v = 0;
  KqRand r;
  if (getrandom (&v, sizeof v, 0) == (ssize_t)sizeof v)
    return v;
  r = kq_rand ((uint64_t)kq_time_now () ^ ((uint64_t)getpid () << 32));
  return kq_rand_next (&r);
}
