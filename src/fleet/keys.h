#ifndef KQ_FLEET_KEYS_H
#define KQ_FLEET_KEYS_H

/* keys: where this system keeps things in the store.
 *
 *   kq/lead      who leads, under its lease           kq/term     number of leaders so
 * far kq/in/j/ID   a job as accepted, never changed     kq/in/x/ID  its cancellation
 *   kq/p/ID      its progress, by the leader          kq/runners  runners ever in use
 *   kq/learned  which tasks disturb which, for the next leader
 *   kq/waves    how far the waves of maintenance are
 *   kq/seq       changes with each batch of progress, so that a batch whose answer was
 * lost and that is carried out late can't overwrite a later one */

#include "base/str.h"

#define KQ_KEY_IN "kq/in/"
#define KQ_KEY_JOB "kq/in/j/"
#define KQ_KEY_CANCEL "kq/in/x/"
#define KQ_KEY_PROGRESS "kq/p/"
#define KQ_KEY_RUNNERS "kq/runners"
#define KQ_KEY_LEARNED "kq/learned"
#define KQ_KEY_WAVES "kq/waves"
#define KQ_KEY_SEQUENCE "kq/seq"

/* The key of an id under one of the prefixes above; freed with free (). */
KqStr kq_key_of (const char *prefix, KqStr id);
/* The id behind the prefix; "" when the key has another. */
KqStr kq_key_id (KqStr key, const char *prefix);

#endif
