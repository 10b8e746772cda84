#ifndef DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CLIENT_LIMITS_H_
#define DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CLIENT_LIMITS_H_

#include <cstddef>

namespace dogwoodfall {

/** Limits on the responses that a client receives. A response beyond a limit is
 * lost: the server may have processed the request.
 */
struct HttpClientLimits {
  /** Max size of the head of a response. */
  size_t max_head_bytes = 65'536;
  size_t max_body_bytes = 16'000'000;
  /** Max bytes of all responses that are not complete yet; 0 for no bound. */
  size_t max_held_bytes = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CLIENT_LIMITS_H_
