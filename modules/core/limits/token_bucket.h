#ifndef DOGWOODFALL_MODULES_CORE_LIMITS_TOKEN_BUCKET_H_
#define DOGWOODFALL_MODULES_CORE_LIMITS_TOKEN_BUCKET_H_

#include <cstdint>

#include "base/millis.h"

namespace dogwoodfall {

/** Token bucket. Each start or retry takes one token. */
struct TokenBucket {
  double tokens = 0;
  Millis refilled_at;
  bool is_initialized = false;
};

/** Takes a token. Returns false when none is available.
 *
 * @param burst capacity of the bucket, which starts full
 */
bool TakeToken(TokenBucket& bucket,
               double tokens_per_second,
               double burst,
               Millis now);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LIMITS_TOKEN_BUCKET_H_
