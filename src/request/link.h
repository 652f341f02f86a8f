#ifndef KQ_REQUEST_LINK_H
#define KQ_REQUEST_LINK_H

/* link: this node's byte budget for requests over the links to other regions.
 *
 * When the own region is full and another one has room, requests go over a link of
 * 30 Mbit/s, which is paid by the byte and shared with control traffic, jobs and all
 * other nodes. Without a budget they fill the link: requests to the other region take
 * seconds, and heartbeats between the two regions are late.
 *
 * The budget is a token bucket that holds one second's bytes, which limits a burst. The
 * bytes of a request are known only afterwards, so that the bucket may become negative;
 * nothing is sent then until it has been refilled. */

#include "base/time.h"

#include <stdbool.h>

typedef struct
{
  int64_t bytes_per_s; /* refill rate; also the size of the bucket */
  int64_t available;   /* bytes in the bucket; may be negative */
  int64_t spent;       /* total bytes since the start */
  KqTime refilled_at;
} KqLinkBudget;

void kq_link_init (KqLinkBudget *b, int64_t bytes_per_s);
/* Refills the bucket; returns whether so many bytes may be sent now. */
bool kq_link_allows (KqLinkBudget *b, int64_t bytes, KqTime now);
/* Takes bytes that were sent or received from the bucket. */
void kq_link_spend (KqLinkBudget *b, int64_t bytes, KqTime now);
/* Time until so many bytes may be sent; KQ_TIME_NEVER if bytes_per_s is 0. */
KqTime kq_link_wait (KqLinkBudget *b, int64_t bytes, KqTime now);

#endif
