#ifndef KQ_PORT_HOSTS_H
#define KQ_PORT_HOSTS_H

/* hosts: the platform's lagging list of live and leaving hosts, read into structs.
 * The text's form is stated in docs/PLATFORM.md. */

#include "base/result.h"
#include "port/worker.h"

typedef struct
{
  KqName name;   /* unique within its host */
  KqStr address; /* base URL for requests, no trailing slash */
  int slots;
  int connections;
  KqName *services; /* what it serves; none: every service */
  size_t n_services;
} KqHostRunner;

typedef enum
{
  KQ_HOST_LIVE,
  KQ_HOST_LEAVING,
  KQ_HOST_GONE /* proof that nothing runs there any more */
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
  KqSize whole;
  KqHostRunner *runners;
  size_t n_runners;
} KqHost;

typedef struct
{
  KqHost *hosts;
  size_t n_hosts;
} KqHostList;

/* Reads the platform's text. On KQ_ERR_PLATFORM_FORMAT *out is empty. */
KqResult kq_hosts_parse (KqStr text, KqHostList *out);
void kq_hosts_free (KqHostList *l);
KqHost kq_host_copy (const KqHost *h); /* owns its strings and lists */

#endif
