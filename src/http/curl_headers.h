#ifndef KQ_HTTP_CURL_HEADERS_H
#define KQ_HTTP_CURL_HEADERS_H

/* curl_headers: a request's headers in the form that libcurl takes. */

#include "http/client.h"

#include <curl/curl.h>

/* Returns the request's headers, without those that libcurl would add. The caller frees
 * the list by curl_slist_free_all. */
struct curl_slist *kq_curl_headers (const KqHttpRequest *r);

#endif
