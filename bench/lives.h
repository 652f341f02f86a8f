#ifndef KQ_BENCH_LIVES_H
#define KQ_BENCH_LIVES_H

/* lives: kills runners and restarts them under the same address, again and again, while
 * starts are queued and in flight. A life is one process of a runner.
 *
 * It uses a real agent with its HTTP client, and runner processes. Half of the runners
 * are behind relays that delay data, stall or refuse connections, or accept them long
 * before the runner does. The steady clock of each life starts far below that of the life
 * before, so that a runner can tell a call that was meant for an earlier life: a start by
 * its lease, an acknowledgement by its number. */

#include <stdint.h>

typedef struct
{
  const char *build; /* build directory with the programs */
  uint64_t seed;
  int runners;
  int lives; /* processes started, of all runners together */
} KqLivesPlan;

typedef struct
{
  int lives;
  int ordered;  /* start orders given to the agent */
  int begun;    /* of these, reported as OK */
  int unsent;   /* reported as not sent, or refused */
  int unknown;  /* reported as without an answer */
  int breaches; /* each printed on stdout */
} KqLivesReport;

/* Returns 0, or -1 if the processes couldn't be started. */
int kq_lives_run (const KqLivesPlan *p, KqLivesReport *out);

#endif
