#ifndef KQ_SCHED_MAINTENANCE_H
#define KQ_SCHED_MAINTENANCE_H

/* maintenance: waves of hosts that operators want taken down, each once.
 *
 * A fencing token protects one host only: a call of an earlier leader, sent or carried
 * out late, is refused by hosts that have seen a later token, and accepted by the others.
 * So each call is recorded before it is made. The record is written on the condition that
 * the writer still leads, and the next leader reads it: it counts the hosts in it that
 * were not answered for as down and calls them first, with its own token. */

#include "sched/state.h"

/* Progress of a host of a maintenance wave. Phases follow in this order, except that a
 * host that was not up when called, or whose drain was given up, waits again. */
typedef enum
{
  KQ_HOST_WAITING,
  KQ_HOST_DRAINING, /* takes no new tasks, its tasks are moved */
  KQ_HOST_CALLED,   /* the call to take it down was sent, and may have been carried out */
  KQ_HOST_DOWN,     /* it is down for maintenance */
  KQ_HOST_BACK      /* it has a new runner, or is gone for good */
} KqHostPhase;

typedef struct
{
  char *host;
  KqHostPhase phase;
  KqTime since;         /* start of the phase */
  KqTime drained_since; /* start of its last drain */
  KqTime again_at;      /* earliest time of the next attempt */
  bool to_call;         /* it is drained: the call may be made once the record names it */
  bool packed;      /* named in the record that was packed last, as one that is called */
  bool recorded;    /* named so in the stored record */
  bool outstanding; /* a call without an answer, of this leader or an earlier one, may
                       still be carried out */
  bool repeated;    /* the call was made more than once */
  char *old_runner; /* id of the runner there when the call was made; NULL: none */
  char *kind;       /* labels of its runner when the drain began; NULL: not known */
  char *rack;
} KqWaveHost;

typedef struct
{
  int64_t number;
  bool requested; /* the operators' request has been read, not only the stored progress */
  int32_t cap;    /* most hosts that may be drained or down at once */
  KqTime ends_at; /* the end of the time allowed for it */
  int64_t ends_wall_ms; /* ends_at as Unix time; 0: not known */
  int64_t duration_ms;  /* length of the time allowed for it */
  bool completed;       /* each host was taken down, or is gone for good */
  KqWaveHost *hosts;
  size_t n_hosts;
} KqWave;

GPtrArray *kq_maintenance_new_waves (void);
/* The wave with that number, added if there is none. Owned by the scheduler. */
KqWave *kq_wave_get (KqSched *s, int64_t number);
/* The host's part in the wave, added if there is none. Valid until the next call. */
KqWaveHost *kq_wave_add_host (KqWave *w, KqStr host);
/* Whether the host has been taken down, or is gone for good. */
bool kq_wave_host_is_done (const KqWaveHost *h);
/* Drains and takes down hosts of the waves, as many as are due. */
void kq_maintenance_update (KqSched *s, KqTime now);
/* Whether the stored record has to name the host as one that may be called. */
bool kq_wave_host_may_be_called (const KqWaveHost *h);
/* Whether a wave takes the runner's host down and may still end the runner, which must
 * get no tasks then. */
bool kq_maintenance_may_end (const KqSched *s, const KqRunnerState *r);

#endif
