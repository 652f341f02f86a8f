#ifndef KQ_SCHED_DISTURB_H
#define KQ_SCHED_DISTURB_H

/* disturb: how much tasks that fill a runner's spare cpu lengthen the latency tail of
 * tasks that serve beside them, learned from reports.
 *
 * What two images do to each other differs by pair and isn't told by anyone. Measured on
 * a fleet of 48 runners without pacing, the logarithm of the tail grows by the same
 * amount with each core that a filling image uses: by 0.3 to 0.6 for about a third of the
 * pairs and by nothing for the others (least squares over 17,000 reports, r2 0.4 to 0.5;
 * tail and its inverse fit worse). So each serving image has one linear model in that
 * logarithm, kept by recursive least squares. */

#include "base/str.h"
#include "base/time.h"

#define KQ_DISTURB_IMAGES 32 /* of each sort; further ones share the last place */

typedef struct KqDisturb KqDisturb;

KqDisturb *kq_disturb_new (void);
void kq_disturb_free (KqDisturb *d);
/* The image's place among those that serve, or that fill. */
int kq_disturb_serving (KqDisturb *d, KqStr image);
int kq_disturb_filling (KqDisturb *d, KqStr image);

/* What has been learned, in a stored form for the next leader: without it each change of
 * leader begins with seconds of filling tasks in the wrong places. */
void kq_disturb_pack (const KqDisturb *d, KqBuf *out);
/* Into a model that has learned nothing yet. False: not such a text. */
bool kq_disturb_unpack (KqDisturb *d, KqStr stored);

/* One report: log_tail is the logarithm of tail by target, shares[f] the share of the
 * runner's cpu that each filling image used at the time. Shares, not cores: on runners of
 * 16 and of 64 cores the growth for each core differs tenfold, for each share it is
 * alike. */
void kq_disturb_learn (KqDisturb *d, int serving, double log_tail,
                       const double shares[KQ_DISTURB_IMAGES], KqTime now);
/* Growth of the logarithm for the whole cpu; at least 0. */
double kq_disturb_press (const KqDisturb *d, int serving, int filling);
/* The logarithm without any filling task. */
double kq_disturb_base (const KqDisturb *d, int serving);
/* The same at its highest of late: what is placed now meets it again. */
double kq_disturb_peak (const KqDisturb *d, int serving);

#endif
