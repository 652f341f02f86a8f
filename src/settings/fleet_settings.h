#ifndef KQ_SETTINGS_FLEET_SETTINGS_H
#define KQ_SETTINGS_FLEET_SETTINGS_H

/* fleet_settings: the TOML file of a node that runs jobs of steps on a platform of
 * runners.
 *
 * Such a file has a section [fleet]; without one it is a file of settings/settings.h.
 * Numbers may be written as strings, so that a template can fill them in unseen. */

#include "settings/settings.h"

typedef struct
{
  KqName node;
  KqName failure_domain;
  KqName region;
  char ip[16];
  char front[32];    /* "ip:port" for client accounts */
  char ready[32];    /* for the platform's probes */
  int64_t peer_port; /* for the other nodes */
  int64_t metrics_port;
  char store[32];          /* "ip:port" */
  char advice[32];         /* "ip:port" of the advice service; "": none */
  int64_t maintenance_ms;  /* how long a host is down for its maintenance */
  char control_plane[32];  /* "ip:port" of what takes hosts down; "": none */
  int64_t lease_min_ms;    /* shortest lease that the store gives */
  int64_t cpu_share_milli; /* of a processor, in thousandths */
  int64_t runner_lease_max_ms;
  int64_t grace_ms; /* from SIGTERM to SIGKILL */
  int64_t keep_ms;  /* a finished job's state is kept */
  int log_level;
} KqFleetSettings;

/* Whether the text has a section [fleet]. */
bool kq_fleet_settings_is (KqStr text);
int kq_fleet_settings_parse (KqStr text, KqFleetSettings *out, KqSettingsFault *faults,
                             int max);

#endif
