#ifndef KQ_JOB_CLASSES_H
#define KQ_JOB_CLASSES_H

/* classes: maps job classes to small indices, for tables by class or pair of classes. */

#include "base/str.h"

/* The pair table of interference.h has 64 * 64 * 3 cells, 192 KB. Further classes share
 * the last index; this only mixes their estimates. */
#define KQ_CLASSES_MAX 64

typedef struct
{
  KqName names[KQ_CLASSES_MAX];
  bool latency_critical[KQ_CLASSES_MAX]; /* some task of the class was */
  uint16_t n;
} KqClasses;

/* The index of the class, which is added if it is new; the last index once the table is
 * full. */
uint16_t kq_classes_find_or_add (KqClasses *c, const KqName *name);

#endif
