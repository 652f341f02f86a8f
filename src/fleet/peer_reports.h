#ifndef KQ_FLEET_PEER_REPORTS_H
#define KQ_FLEET_PEER_REPORTS_H

/* peer_reports: on the leader, the runs that a node has listed last for each of its
 * runners. Nodes send the differences from these lists, as thousands of runners list
 * several runs each, several times a second. */

#include "agent/frame.h"

typedef struct KqPeerReports KqPeerReports;

KqPeerReports *kq_peer_reports_new (void);
void kq_peer_reports_free (KqPeerReports *p);
/* Applies a CHANGES item and sets *list to the runner's whole list; the caller frees
 * *rows. False: it doesn't apply to the last list. */
bool kq_peer_reports_apply (KqPeerReports *p, const KqAgentItem *changes,
                            KqRunnerList *list, KqRunRow **rows);

#endif
