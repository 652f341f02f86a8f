#ifndef KQ_SOAK_SOAK_IMPL_H
#define KQ_SOAK_SOAK_IMPL_H

/* soak_impl: declarations shared by the files of the soak; no other file includes this.
 */

#include "soak.h"

#include "base/rand.h"
#include "bench/procs.h"

#define NODES_MAX 12
#define JOBS_MAX 2000

typedef struct Soak Soak;

typedef struct
{
  Soak *soak;
  char id[20];
  int tasks;
  bool lasting;
  bool fails;
  bool advised;   /* on the queue that needs advice */
  bool call_open; /* waits for an answer */
  bool accepted;
  bool uncertain; /* an attempt may or may not have been accepted */
  bool rejected;  /* an attempt was refused as not run */
  bool cancelled; /* the cancellation was acknowledged */
  bool cancel_sent;
  bool no_such_job; /* the cancellation was answered with 410 */
  char state[16];   /* as last received */
  int attempts;
} SoakJob;

typedef struct
{
  int process; /* in procs; -1: down */
  int relay;
  int relay_control_port;
  int front_port;
  KqTime restart_at; /* when to start or resume it; 0: it is up */
  bool paused;
} SoakNode;

struct Soak
{
  const KqSoakPlan *plan;
  Procs procs;
  KqRand rand;
  int platform;
  int control_port;
  int store_port;
  int runner_ports[64];
  int advice_ports[NODES_MAX];
  SoakNode nodes[NODES_MAX];
  SoakJob jobs[JOBS_MAX];
  int n_jobs;
  KqTime began_at;
  KqTime store_fault_end;
  KqTime runner_fault_end[64];
  int breaches;
  int answers;
  int refusals;
};

int soak_rand_below (Soak *s, int n);
/* Prints a breached invariant. */
void soak_breach (Soak *s, const char *rule, const char *what);
/* Starts a node, or starts it again after its process has ended. */
bool soak_start_node (Soak *s, int i);

/* soak_faults.c */
/* Begins a random fault. */
void soak_inject_fault (Soak *s);
/* Ends the faults whose time is over, or all except those of links. */
void soak_end_faults (Soak *s, bool all);
void soak_end_link_faults (Soak *s);

#endif
