#ifndef KQ_BENCH_LIVES_H
#define KQ_BENCH_LIVES_H

/* lives: runners that are killed and started again under their address, time after time,
 * while starts for them wait and are under way.
 *
 * A real agent with its HTTP client, runners as processes of their own, half of them
 * behind relays that delay bytes, lose connections, refuse them, or accept them long
 * before they reach the runner. The steady clock of each life begins far below that of
 * the one before, so that a runner recognises what was meant for an earlier life: a
 * start by its lease, an acknowledgement by its number. */

#include <stdint.h>

typedef struct
{
  const char *build; /* where the programs are */
  uint64_t seed;
  int runners;
  int lives; /* started in all */
} KqLivesPlan;

typedef struct
{
  int lives;
  int ordered;  /* starts given to the agent */
  int begun;    /* of these, answered as begun */
  int unsent;   /* told not to have left, or refused */
  int unknown;  /* without an answer */
  int breaches; /* each told on standard output */
} KqLivesReport;

/* 0, or -1: it couldn't start. */
int kq_lives_run (const KqLivesPlan *p, KqLivesReport *out);

#endif
