#ifndef KQ_FLEET_FLEET_H
#define KQ_FLEET_FLEET_H

/* fleet: one node: takes in client accounts' requests, carries out orders at runners, and
 * leads when it is elected. */

#include "base/counter.h"
#include "base/task.h"
#include "settings/fleet_settings.h"

typedef struct KqFleet KqFleet;

typedef struct
{
  KqLoop *loop;
  const KqFleetSettings *settings;
  KqCounters *counters;
  /* After kq_fleet_stop: nothing is open any more, or the time is over. */
  void (*stopped) (void *arg, bool whole);
  void *arg;
} KqFleetConfig;

/* NULL: an address can't be bound. */
KqFleet *kq_fleet_new (const KqFleetConfig *c);
/* Ports as bound; the settings may leave them to the kernel. */
void kq_fleet_ports (const KqFleet *f, int *front, int *ready, int *peers, int *metrics);
void kq_fleet_free (KqFleet *f);
/* A planned stop: no new connections, the lead and the runners go to other nodes,
 * requests in progress are answered. */
void kq_fleet_stop (KqFleet *f, KqTime now);

#endif
