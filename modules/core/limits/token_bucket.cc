#include "core/limits/token_bucket.h"

#include <algorithm>

namespace dogwoodfall {

bool TakeToken(TokenBucket& bucket,
               double tokens_per_second,
               double burst,
               Millis now) {
  constexpr double kMillisPerSecond = 1000.0;
  if (!bucket.is_initialized) {
    bucket.is_initialized = true;
    bucket.tokens = burst;
    bucket.refilled_at = now;
  }
  const double elapsed_seconds =
      static_cast<double>((now - bucket.refilled_at).count) / kMillisPerSecond;
  bucket.tokens =
      std::min(burst, bucket.tokens + elapsed_seconds * tokens_per_second);
  bucket.refilled_at = now;
  if (bucket.tokens < 1.0)
    return false;
  bucket.tokens -= 1.0;
  return true;
}

}  // namespace dogwoodfall
