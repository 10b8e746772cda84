#ifndef DOGWOODFALL_MODULES_BASE_HASH_H_
#define DOGWOODFALL_MODULES_BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace dogwoodfall {

/** Returns a hash that is the same in every process and build (xxHash). */
uint64_t StableHash(std::string_view text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_HASH_H_
