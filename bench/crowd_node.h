#ifndef KQ_BENCH_CROWD_NODE_H
#define KQ_BENCH_CROWD_NODE_H

/* crowd_node: a node of a fleet with limits of its own and the stand-in platform, for
 * tests with crowds of clients (crowd.h). */

#include "crowd.h"
#include "procs.h"

typedef struct
{
  Procs procs;
  int platform;
  int node;
  int store_port;
  int front_port;
  int ready_port;
  int peer_port;
  int metrics_port;
  int memory_mb;
  int max_fds;
  CrowdUse use;
  int next_id;
} CrowdNode;

/* Starts a node and waits until it is ready. build: the directory of the programs;
 * limits: more lines of the settings' section [limits]. */
void crowd_node_start (CrowdNode *n, const char *build, int memory_mb, int max_fds,
                       const char *limits);
void crowd_node_stop (CrowdNode *n);
/* Opens a crowd, lets it send, and leaves it open. */
Crowd *crowd_node_attack (CrowdNode *n, const CrowdPlan *plan);
/* Fails the test unless the process lives, has stayed within its limits, and accepts an
 * ordinary job, which is done afterwards. */
void crowd_node_check (CrowdNode *n);
/* Sets a fault at the stand-in's store, as JSON (standin/web.c). */
void crowd_node_set_fault (CrowdNode *n, const char *fault);
/* Submits a job by an ordinary client; returns the status, 0: no answer. */
int crowd_node_submit (CrowdNode *n, const char *id, KqStr body);

#endif
