#ifndef DOGWOODFALL_MODULES_CORE_LIMITS_TOKEN_BUCKET_H_
#define DOGWOODFALL_MODULES_CORE_LIMITS_TOKEN_BUCKET_H_

#include <cstdint>

#include "base/millis.h"

namespace dogwoodfall {

/** Tokens that come back at a rate; one is used for each start or retry. */
struct TokenBucket {
  double tokens = 0;
  Millis refilled_at;
  bool is_initialized = false;
};

/** Takes a token if there is one.
 *
 * @param per_second tokens that come back a second
 * @param burst most tokens it holds; also what it starts with
 */
bool TakeToken(TokenBucket& bucket,
               double per_second,
               double burst,
               Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LIMITS_TOKEN_BUCKET_H_
