#ifndef KQ_FLEET_FLEET_H
#define KQ_FLEET_FLEET_H

/* fleet: one node of the scheduler. It serves client accounts' requests, carries out the
 * leader's orders at runners, and is the leader itself when elected. */

#include "base/counter.h"
#include "base/task.h"
#include "settings/fleet_settings.h"

typedef struct KqFleet KqFleet;

typedef struct
{
  KqLoop *loop;
  const KqFleetSettings *settings;
  KqCounters *counters;
  /* Called once after kq_fleet_stop. whole: all requests have been answered; if false,
   * the grace period ended first. */
  void (*stopped) (void *arg, bool whole);
  void *arg;
} KqFleetConfig;

/* settings and counters must outlive the node. NULL: an address can't be bound. */
KqFleet *kq_fleet_new (const KqFleetConfig *c);
/* Returns the bound ports; a port of 0 in the settings lets the kernel choose. */
void kq_fleet_ports (const KqFleet *f, int *front, int *ready, int *peers, int *metrics);
void kq_fleet_free (KqFleet *f);
/* Starts a planned stop: the node hands leadership and its runners over to other nodes
 * and answers the requests in progress. It reports itself as not ready, so that no new
 * connections are routed here. */
void kq_fleet_stop (KqFleet *f, KqTime now);

#endif
