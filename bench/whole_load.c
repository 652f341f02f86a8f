#include "whole_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int
kq_whole_any_node (KqWhole *w)
{
  int i = (int)kq_rand_below (&w->rand, NODES);
  for (int k = 0; k < NODES; k++)
    {
      const KqWholeNode *n = &w->nodes[(i + k) % NODES];
      if (n->core != NULL && n->paused_until <= w->now)
        return (i + k) % NODES;
    }
  return -1;
}

static void
submit_job (KqWhole *w, int entry)
{
  KqMsg m = { .kind = KQ_MSG_JOB_SUBMIT };
  KqMsgJobSubmit *s = &m.u.job_submit;
  char key[24];
  /* One in four repeats an earlier submission, as after a lost answer. */
  size_t number = w->n_jobs;
  if (w->n_jobs == JOBS_MAX || (w->n_jobs > 0 && kq_rand_below (&w->rand, 4) == 0))
    number = (size_t)kq_rand_below (&w->rand, w->n_jobs);
  if (number == w->n_jobs)
    {
      w->jobs = kq_realloc (w->jobs, (w->n_jobs + 1) * sizeof *w->jobs);
      w->jobs[w->n_jobs++] = (KqWholeJob){ 0 };
    }
  snprintf (key, sizeof key, "job-%zu", number);
  s->call = number + 1;
  s->reply_to = w->nodes[entry].id;
  s->shard = UINT32_MAX;
  s->spec.team = kq_name (KQ_STR ("rounds"));
  s->spec.class_name = kq_name (KQ_STR ("plan"));
  s->spec.key = kq_name (kq_str (key));
  s->spec.priority = (KqPriority)(KQ_PRIORITY_LOW + number % 4);
  s->spec.size = (KqSize){ 500 + 500 * (int64_t)(number % 3), 500, 0 };
  kq_whole_send (w, entry, s->reply_to, &m);
}

void
kq_whole_call_job (KqWhole *w, int entry, KqJobCallKind kind, size_t number)
{
  KqMsg m = { .kind = KQ_MSG_JOB_CALL };
  m.u.job_call.call = number + 1;
  m.u.job_call.reply_to = w->nodes[entry].id;
  m.u.job_call.shard = KQ_JOB_SHARD (w->jobs[number].id);
  m.u.job_call.kind = kind;
  m.u.job_call.job = w->jobs[number].id;
  kq_whole_send (w, entry, w->nodes[entry].id, &m);
}

static void
begin_claim (KqWhole *w, int entry)
{
  KqMsg m = { .kind = KQ_MSG_CLAIM_BEGIN };
  KqMsgClaimBegin *b = &m.u.claim_begin;
  int key = (int)kq_rand_below (&w->rand, N_KEYS);
  char text[16];
  snprintf (text, sizeof text, "k%d", key);
  b->flight = (KqFlightId){ w->nodes[entry].id,
                            w->nodes[entry].n_starts * 100 + (uint64_t)entry,
                            ++w->flights * 1024 + (uint64_t)key };
  b->shard = (uint32_t)key % SHARDS;
  b->service = KQ_STR ("seal");
  b->key = kq_str (text);
  b->request_hash = 7;
  kq_whole_send (w, entry, w->nodes[entry].id, &m);
}

static KqTime
claim_ttl (void)
{
  KqRow row = kq_row_default (KQ_ROW_SERVICE, KQ_STR ("seal"));
  return row.u.service.claim_ttl_s * KQ_SEC;
}

/* The claim was granted, so its request runs now. Another grant of a key whose request
 * has run would be a second run: a violation. */
void
kq_whole_claim_granted (KqWhole *w, int entry, const KqMsgClaimReply *c)
{
  int key = (int)(c->flight.number % 1024);
  KqWholeKey *k = &w->keys[key];
  KqWholeEvent *e;
  w->result.claims_granted++;
  /* A key is kept for its service's claim_ttl_s after the end of its request and may run
   * again then (request/claims.h). With seed 3230 and 300,000 steps, k21 ended at 1013.4
   * s and, as no takeover had restarted its time, was granted again at 1789.2 s. */
  if (k->runs > 0 && w->now - k->ended_at > claim_ttl ())
    k->runs = 0;
  if (k->runs > 0)
    kq_whole_add_violation (w, "key k%d was granted again after it ran", key);
  k->runs++;
  k->open = true;
  k->ended_at = w->now; /* counts as the end if the entry node dies first */
  k->flight = c->flight;
  k->entry = entry;
  k->entry_starts = w->nodes[entry].n_starts;
  e = kq_whole_add_event (w, EVENT_CLAIM_END,
                          w->now + 50 * KQ_MS + (KqTime)kq_rand_below (&w->rand, KQ_SEC));
  e->node = entry;
  e->n_starts = w->nodes[entry].n_starts;
  e->key = key;
  e->ran = kq_rand_below (&w->rand, 5) == 0 ? KQ_RAN_NO : KQ_RAN_YES;
}

void
kq_whole_end_claim (KqWhole *w, const KqWholeEvent *e)
{
  KqWholeKey *k = &w->keys[e->key];
  KqMsg m = { .kind = KQ_MSG_CLAIM_DONE };
  KqMsgClaimDone *d = &m.u.claim_done;
  d->flight = k->flight;
  d->shard = (uint32_t)e->key % SHARDS;
  d->ran = e->ran;
  d->kept = e->ran == KQ_RAN_YES;
  d->status = 200;
  d->body = KQ_STR ("done");
  /* "Not run" means that nothing was sent to a runner: the key may be used again. */
  if (e->ran == KQ_RAN_NO)
    k->runs--;
  k->open = false;
  k->ended_at = w->now;
  kq_whole_send (w, e->node, w->nodes[e->node].id, &m);
}

void
kq_whole_handle_answer (KqWhole *w, const KqMsgAnswer *a)
{
  size_t number = (size_t)a->call - 1;
  json_t *o = json_loadb (a->json.ptr != NULL ? a->json.ptr : "", a->json.len, 0, NULL);
  const char *id = json_string_value (json_object_get (o, "id"));
  const char *state = json_string_value (json_object_get (o, "state"));
  if (number < w->n_jobs && a->code == KQ_OK && id != NULL)
    {
      KqWholeJob *j = &w->jobs[number];
      KqJobId got = strtoull (id, NULL, 16);
      if (j->acked && j->id != got)
        kq_whole_add_violation (w, "key job-%zu made two jobs", number);
      j->id = got;
      w->result.jobs_acked += !j->acked;
      j->acked = true;
      snprintf (j->last, sizeof j->last, "%s attempt %d %s", state != NULL ? state : "?",
                (int)json_integer_value (json_object_get (o, "attempt")),
                json_string_value (json_object_get (o, "reason")) != NULL
                    ? json_string_value (json_object_get (o, "reason"))
                    : "");
      if (state != NULL
          && (strcmp (state, "finished") == 0 || strcmp (state, "failed") == 0
              || strcmp (state, "cancelled") == 0))
        {
          w->result.jobs_ended += !j->ended;
          j->ended = true;
        }
    }
  else if (number < w->n_jobs && a->code == KQ_ERR_JOB_UNKNOWN && w->jobs[number].acked)
    kq_whole_add_violation (w, "job %llx was acknowledged and is unknown",
                            (unsigned long long)w->jobs[number].id);
  json_decref (o);
}

void
kq_whole_run_client (KqWhole *w)
{
  int entry = kq_whole_any_node (w);
  uint64_t draw = kq_rand_below (&w->rand, 10);
  kq_whole_add_event (w, EVENT_CLIENT,
                      w->now
                          + (KqTime)kq_rand_below (&w->rand, 2 * CLIENT_INTERVAL_MEAN));
  if (entry < 0)
    return;
  if (draw < 4)
    submit_job (w, entry);
  else if (draw < 5 && w->n_jobs > 0)
    {
      size_t number = (size_t)kq_rand_below (&w->rand, w->n_jobs);
      KqJobCallKind kind = number % 7 == 0 ? KQ_JOB_CANCEL : KQ_JOB_GET;
      if (w->jobs[number].acked)
        kq_whole_call_job (w, entry, kind, number);
    }
  else
    begin_claim (w, entry);
}

/* Queries every acknowledged job that isn't known to have ended. */
void
kq_whole_query_jobs (KqWhole *w)
{
  for (size_t i = 0; i < w->n_jobs && w->result.violation[0] == '\0'; i++)
    {
      int entry = kq_whole_any_node (w);
      if (entry < 0 || !w->jobs[i].acked || w->jobs[i].ended)
        continue;
      kq_whole_call_job (w, entry, KQ_JOB_GET, i);
      kq_whole_advance (w, 30 * KQ_MS);
    }
  kq_whole_advance (w, KQ_SEC);
}
