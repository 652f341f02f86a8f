#ifndef KQ_SCHED_DISTURB_H
#define KQ_SCHED_DISTURB_H

/* disturb: a model of how much slack filling tasks take from the serving tasks beside
 * them, learned from reports.
 *
 * How much one image disturbs another differs by pair and isn't known in advance. Slack
 * is the latency target divided by the tail latency. It falls in proportion to the share
 * of the runner's cpu that a filling image uses: for about every third pair by 5 to 13 if
 * it used the whole cpu, for the others by 0 to 1. (Least squares over the differences
 * between tasks of one step at the same time, 52,000 reports of two fleets: r2 0.33; for
 * the tail's logarithm 0.24.) So each serving image has one linear model, kept by
 * recursive least squares. */

#include "base/str.h"
#include "base/time.h"

/* Most images of each kind, serving and filling; further ones share the last number. */
#define KQ_DISTURB_IMAGES_MAX 32

typedef struct KqDisturb KqDisturb;

KqDisturb *kq_disturb_new (void);
void kq_disturb_free (KqDisturb *d);
/* Return the image's number, 0 to KQ_DISTURB_IMAGES_MAX - 1, among the serving and among
 * the filling images; an image that is new is added. The other functions take these
 * numbers in `serving` and `filling`. */
int kq_disturb_serving (KqDisturb *d, KqStr image);
int kq_disturb_filling (KqDisturb *d, KqStr image);

/* Appends the model in its stored form, for the next leader: without it filling tasks
 * would be placed badly for some seconds after each change of leader. */
void kq_disturb_pack (const KqDisturb *d, KqBuf *out);
/* Reads the stored form into a new model. False: it can't be read; the model may hold a
 * part of it then. */
bool kq_disturb_unpack (KqDisturb *d, KqStr stored);

/* Learns from one comparison of two tasks under the same load: shares[f] is the share of
 * the runner's cpu that filling image f used beside the first, less the same beside the
 * other; `lost` is how much less slack the first had, and `variance` the variance of that
 * figure. Shares are used rather than cores since the loss per share is the same on
 * runners of 16 and of 64 cores, and the loss per core isn't. */
void kq_disturb_learn (KqDisturb *d, int serving, double lost, double variance,
                       const double shares[KQ_DISTURB_IMAGES_MAX]);
/* Lower bound of the slack that the serving image loses if the filling image uses the
 * runner's whole cpu; at least 0. */
double kq_disturb_loss_bound (const KqDisturb *d, int serving, int filling);
/* Estimate of the slack that the serving image loses while filling images use these
 * shares of the runner's cpu; sets the estimate's variance. */
double kq_disturb_loss (const KqDisturb *d, int serving,
                        const double shares[KQ_DISTURB_IMAGES_MAX], double *variance);

#endif
