#ifndef KQ_FLEET_KEYS_H
#define KQ_FLEET_KEYS_H

/* keys: the keys that this system uses in the store.
 *
 *   kq/lead      the leader's record, under its lease
 *   kq/term      number of leaders so far
 *   kq/in/j/ID   a job as accepted; never changed
 *   kq/in/x/ID   the job's cancellation, which may be stored before the job
 *   kq/p/ID      the job's progress, written by the leader
 *   kq/runners   runners on which runs may exist, for the next leader
 *   kq/agents    nodes that may have granted them leases, for the next leader
 *   kq/learned   which tasks disturb which, for the next leader
 *   kq/estimates how run times compare to their estimates, for the next leader
 *   kq/waves     state of maintenance waves
 *   kq/seq       written with every transaction of progress, so that one that is carried
 *                out late, after its answer was lost, cannot overwrite a newer one */

#include "base/str.h"

#define KQ_KEY_IN "kq/in/"
#define KQ_KEY_JOB "kq/in/j/"
#define KQ_KEY_CANCEL "kq/in/x/"
#define KQ_KEY_PROGRESS "kq/p/"
#define KQ_KEY_RUNNERS "kq/runners"
#define KQ_KEY_AGENTS "kq/agents"
#define KQ_KEY_LEARNED "kq/learned"
#define KQ_KEY_ESTIMATES "kq/estimates"
#define KQ_KEY_WAVES "kq/waves"
#define KQ_KEY_SEQUENCE "kq/seq"

/* Returns prefix followed by id; free its ptr with free (). */
KqStr kq_key_of (const char *prefix, KqStr id);
/* Returns the part of key behind prefix, pointing into key; "": key has another prefix.
 */
KqStr kq_key_id (KqStr key, const char *prefix);

#endif
