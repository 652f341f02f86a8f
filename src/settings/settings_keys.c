#include "settings/settings_keys.h"

#include <stddef.h>
#include <stdio.h>

#define AT(field) offsetof (KqSettings, field)
#define PORT 0, 65535
#define SECRET_MIN 16
#define DAY_MS (24 * 3600 * 1000LL)

const KqSettingKey kq_setting_keys[] = {
  { "node", "name", KQ_SETTING_NAME, AT (node), 0, 0, NULL,
    "This node's name, unique in the cluster. A replaced host may take it over." },
  { "node", "region", KQ_SETTING_NAME, AT (region), 0, 0, NULL,
    "The region it stands in; one of the [[region]] names." },
  { "node", "depot", KQ_SETTING_NAME, AT (depot), 0, 0, NULL,
    "The depot (failure domain) it stands in." },
  { "cluster", "name", KQ_SETTING_NAME, AT (cluster), 0, 0, NULL,
    "The cluster's name; nodes of other clusters are refused." },
  { "cluster", "secret", KQ_SETTING_SECRET, AT (secret), SECRET_MIN, 255, NULL,
    "Shared by all nodes; keys the digest in the hello. Never printed." },
  { "mesh", "ip", KQ_SETTING_IP, AT (mesh_ip), 0, 0, NULL,
    "Address for the other nodes; must be reachable from them." },
  { "mesh", "port", KQ_SETTING_PORT, AT (mesh_port), PORT, "7701",
    "Port for the other nodes; 0: the kernel picks." },
  { "callers", "ip", KQ_SETTING_IP, AT (caller_ip), 0, 0, NULL,
    "Address for callers and job submitters." },
  { "callers", "port", KQ_SETTING_PORT, AT (caller_port), PORT, "7702",
    "Port for callers; 0: the kernel picks." },
  { "operators", "ip", KQ_SETTING_IP, AT (operator_ip), 0, 0, NULL,
    "Address for operators." },
  { "operators", "port", KQ_SETTING_PORT, AT (operator_port), PORT, "7703",
    "Port for operators; 0: the kernel picks." },
  { "operators", "token", KQ_SETTING_SECRET, AT (operator_token), SECRET_MIN, 255, NULL,
    "Bearer token that operators must show. Never printed." },
  { "store", "url", KQ_SETTING_URL, AT (store_url), 0, 0, NULL,
    "Base URL of the platform's store." },
  { "store", "calls_per_second", KQ_SETTING_INT, AT (store_calls_per_s), 1, 1000, "10",
    "This node's budget of store calls. All nodes together must stay under the "
    "store's rate." },
  { "region", "name", KQ_SETTING_REGION_NAME, 0, 0, 0, NULL,
    "Name of a region. All regions stand in the same order on every node." },
  { "region", "shards", KQ_SETTING_REGION_SHARDS, 0, 1, 1024, NULL,
    "How many shards the region has; the same on every node." },
  { "host_lists", "depots", KQ_SETTING_NAMES, 0, 0, 0, "",
    "Depots of this region whose host lists this node reads; none: its own depot." },
  { "limits", "memory_mb", KQ_SETTING_INT, AT (limits.memory_mb), KQ_LIMIT_MEMORY_MB_MIN,
    KQ_LIMIT_MAX, "256",
    "Memory that this process may use. Clients may hold a part of it." },
  { "limits", "max_fds", KQ_SETTING_INT, AT (limits.max_fds), KQ_LIMIT_MAX_FDS_MIN,
    KQ_LIMIT_MAX, "4096", "Descriptors that this process may open, files included." },
  { "limits", "request_ms", KQ_SETTING_INT, AT (limits.request_ms), 100, DAY_MS, "75000",
    "Time for a client to send a request, or to take its answer, besides a second for "
    "each 4 KB." },
  { "limits", "link_bytes_per_second", KQ_SETTING_INT, AT (link_bytes_per_s), 1024,
    10000000000LL, "400000", "This node's part of the link between regions." },
  { "limits", "node_lease_ms", KQ_SETTING_INT, AT (node_lease_ms), 1000, 120000, "10000",
    "Lease of the node's key in the store: the longest a dead node holds a shard." },
  { "limits", "worker_lease_ms", KQ_SETTING_INT, AT (worker_lease_ms), 1000, 120000,
    "10000", "Lease that a worker grants to its shard's owner." },
  { "limits", "blind_ms", KQ_SETTING_INT, AT (blind_ms), 0, DAY_MS, "1800000",
    "How long workers are renewed while the store is away." },
  { "limits", "heartbeat_ms", KQ_SETTING_INT, AT (heartbeat_ms), 50, 10000, "500",
    "Time between heartbeats to the nodes of the region." },
  { "limits", "stop_ms", KQ_SETTING_INT, AT (stop_ms), 1000, 3600000, "30000",
    "Limit of a planned stop; what is open then is cut and counted." },
  { "log", "level", KQ_SETTING_LOG_LEVEL, AT (log_level), 0, 0, "info",
    "Least important lines to log." },
};

const int kq_n_setting_keys = (int)(sizeof kq_setting_keys / sizeof kq_setting_keys[0]);

const char *
kq_setting_type (const KqSettingKey *k)
{
  switch (k->kind)
    {
    case KQ_SETTING_NAMES:
      return "array of strings";
    case KQ_SETTING_PORT:
    case KQ_SETTING_INT:
    case KQ_SETTING_REGION_SHARDS:
      return "integer";
    default:
      return "string";
    }
}

void
kq_setting_allowed (const KqSettingKey *k, char *out, size_t size)
{
  switch (k->kind)
    {
    case KQ_SETTING_NAME:
    case KQ_SETTING_REGION_NAME:
      snprintf (out, size, "1 to %d of a-z A-Z 0-9 . _ -", KQ_NAME_MAX);
      break;
    case KQ_SETTING_NAMES:
      snprintf (out, size, "at most %d names of a-z A-Z 0-9 . _ -", KQ_DEPOTS_MAX);
      break;
    case KQ_SETTING_SECRET:
      snprintf (out, size, "%d to %d bytes", (int)k->min, (int)k->max);
      break;
    case KQ_SETTING_IP:
      snprintf (out, size, "an IPv4 address in numbers, as 10.0.0.7");
      break;
    case KQ_SETTING_URL:
      snprintf (out, size, "http:// or https:// and a host, at most 255 bytes");
      break;
    case KQ_SETTING_LOG_LEVEL:
      snprintf (out, size, "error, warn, info or debug");
      break;
    case KQ_SETTING_PORT:
    case KQ_SETTING_INT:
    case KQ_SETTING_REGION_SHARDS:
      snprintf (out, size, "%lld to %lld", (long long)k->min, (long long)k->max);
      break;
    }
}
