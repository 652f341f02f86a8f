#ifndef KQ_REQUEST_RECENT_H
#define KQ_REQUEST_RECENT_H

/* recent: how the last requests of this entry node ended, for `kumquatctl explain`. */

#include "request/flight.h"

#define KQ_RECENT_MAX 2048

typedef struct
{
  char id_text[40];
  KqName service;
  KqName caller;
  KqResult code; /* KQ_OK: answered */
  KqRan ran;
  int status;
  int tries;
  KqTime duration; /* from its acceptance to its end */
} KqRecentEntry;

typedef struct
{
  KqRecentEntry entries[KQ_RECENT_MAX];
  size_t n_added; /* modulo KQ_RECENT_MAX: index of the next entry to overwrite */
} KqRecent;

void kq_recent_add (KqRecent *r, const KqFlight *f, KqResult code, KqRan ran, KqTime now);
/* Returns the entry of the request with that id; NULL: none. */
const KqRecentEntry *kq_recent_find (const KqRecent *r, KqStr id_text);

#endif
