#include "fuzz.h"

#include "port/hosts.h"

void
kq_fuzz_hosts (KqStr data)
{
  KqHostList l;
  if (kq_hosts_parse (data, &l) != KQ_OK)
    {
      kq_fuzz_check (l.n_hosts == 0, "a rejected list is empty");
      return;
    }
  for (size_t i = 0; i < l.n_hosts; i++)
    {
      kq_fuzz_check (kq_name_valid (kq_name_str (&l.hosts[i].name)), "a host has a name");
      kq_fuzz_check (l.hosts[i].capacity.cpu_milli >= 0
                         && l.hosts[i].capacity.memory_mb >= 0,
                     "a host's size isn't negative");
    }
  kq_hosts_free (&l);
}
