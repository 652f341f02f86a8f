#ifndef KQ_JOB_CLASSES_H
#define KQ_JOB_CLASSES_H

/* classes: maps job classes to small indices, for tables by class or pair of classes. */

#include "base/str.h"

/* With 64 classes the table KqInterference.cells has 64 * 64 * 3 cells, 192 KB. All
 * further classes share the last index, so that what is learned about them is mixed. */
#define KQ_CLASSES_MAX 64

typedef struct
{
  KqName names[KQ_CLASSES_MAX];
  /* Some task of the class was latency-critical. */
  bool latency_critical[KQ_CLASSES_MAX];
  uint16_t n;
} KqClasses;

/* Returns the index of the class. Adds the class if it is new; once KQ_CLASSES_MAX
 * classes are known, a new one gets the last index. */
uint16_t kq_classes_find_or_add (KqClasses *c, const KqName *name);

#endif
