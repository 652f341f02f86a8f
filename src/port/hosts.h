#ifndef KQ_PORT_HOSTS_H
#define KQ_PORT_HOSTS_H

/* hosts: parses the platform's host list, which may lag behind the true state. The
 * format is given in docs/PLATFORM.md. */

#include "base/result.h"
#include "port/worker.h"

typedef struct
{
  KqName name;   /* unique within its host */
  KqStr address; /* base URL for requests, no trailing slash */
  int slots;
  int connections;
  KqName *services; /* the services that the runner serves; none: all */
  size_t n_services;
} KqHostRunner;

typedef enum
{
  KQ_HOST_LIVE,
  KQ_HOST_LEAVING,
  KQ_HOST_GONE /* the platform guarantees that nothing runs on the host any more */
} KqHostState;

typedef struct
{
  KqWorkerId id;
  KqName name;
  KqName region;
  KqName depot;
  KqName rack;
  KqStr address; /* base URL of the worker's task interface */
  KqHostState state;
  KqSize capacity; /* the host's capacity */
  KqHostRunner *runners;
  size_t n_runners;
} KqHost;

typedef struct
{
  KqHost *hosts;
  size_t n_hosts;
} KqHostList;

/* Parses the platform's JSON. KQ_OK, or KQ_ERR_PLATFORM_FORMAT with *out empty. */
KqResult kq_hosts_parse (KqStr text, KqHostList *out);
void kq_hosts_free (KqHostList *l);
/* A deep copy. */
KqHost kq_host_copy (const KqHost *h);

#endif
