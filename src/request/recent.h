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
  KqTime duration;
} KqRecentEntry;

typedef struct
{
  KqRecentEntry entries[KQ_RECENT_MAX];
  size_t next; /* count of all added; modulo KQ_RECENT_MAX the next to overwrite */
} KqRecent;

void kq_recent_add (KqRecent *r, const KqFlight *f, KqResult code, KqRan ran, KqTime now);
/* The entry of the request with that id, or NULL. */
const KqRecentEntry *kq_recent_find (const KqRecent *r, KqStr id_text);

#endif
