#include "base/hash.h"

#include <xxhash.h>

namespace dogwoodfall {

uint64_t StableHash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace dogwoodfall
