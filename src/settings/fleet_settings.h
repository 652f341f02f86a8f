#ifndef KQ_SETTINGS_FLEET_SETTINGS_H
#define KQ_SETTINGS_FLEET_SETTINGS_H

/* fleet_settings: the TOML file of a node that runs jobs of steps on a platform of
 * runners.
 *
 * Such a file has a section [fleet]; a file without it is read by settings/settings.h.
 * Numbers may be written as strings, so that a template can substitute them without
 * knowing their type. */

#include "sched/features.h"
#include "settings/settings.h"

/* A finished job is kept for at least so long. The store may carry out a write of its
 * submission seconds after its call; with the job's keys gone the job would be taken for
 * a new one. */
#define KQ_KEEP_MIN_MS 30000

typedef struct
{
  KqName node;
  KqName failure_domain;
  KqName region;
  char ip[16];
  char front[32];    /* "ip:port" for client accounts */
  char ready[32];    /* "ip:port" for the platform's readiness probes */
  int64_t peer_port; /* for the other nodes */
  int64_t metrics_port;
  char store[32];          /* "ip:port" */
  char advice[32];         /* "ip:port" of the platform's advice service; "": none */
  int64_t maintenance_ms;  /* how long maintenance keeps a host down */
  char control_plane[32];  /* "ip:port" of the service that takes hosts down for
                            * maintenance; "": none */
  int64_t lease_min_ms;    /* shortest lease that the store grants */
  int64_t cpu_share_milli; /* this node's share of a processor core, in thousandths */
  int64_t runner_lease_max_ms;
  int64_t grace_ms; /* time between SIGTERM and SIGKILL */
  int64_t keep_ms;  /* how long the state of a finished job is kept; KQ_KEEP_MIN_MS or
                       more */
  KqClientLimitsConfig limits;
  int log_level;
  KqSchedFeatures scheduling; /* section [scheduling] */
} KqFleetSettings;

/* Whether the text has a section [fleet]. */
bool kq_fleet_settings_detect (KqStr text);
/* Like kq_settings_parse. */
int kq_fleet_settings_parse (KqStr text, KqFleetSettings *out, KqSettingsFault *faults,
                             int max);

#endif
