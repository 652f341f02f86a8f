#ifndef KQ_REQUEST_DISPATCH_CLASS_H
#define KQ_REQUEST_DISPATCH_CLASS_H

/* dispatch_class: the class and the key of a request, from its method and path.
 *
 * Run times are learned by class; the slots that a caller gets are shared evenly among
 * its keys. */

#include "base/str.h"

/* Returns the class: a hash of the method and of the first two segments of the path,
 * without segments that contain a digit (ids). The requests of a class take about as
 * long. */
uint64_t kq_dispatch_class (KqStr method, KqStr path);
/* Returns the key: a hash of the path without the query; never 0. */
uint64_t kq_dispatch_key (KqStr path);

#endif
