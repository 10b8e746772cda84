#include "adapters/callers/json_density.h"

#include <cstddef>

namespace dogwoodfall {
namespace {

constexpr size_t kUncheckedBytes = 65'536;
/** Min mean size of a value. The shortest tasks of a job take 9 bytes a value.
 */
constexpr size_t kMinBytesPerValue = 6;

}  // namespace

bool IsTooDense(const std::string& json) {
  if (json.size() <= kUncheckedBytes)
    return false;
  const size_t max = json.size() / kMinBytesPerValue;
  size_t values = 0;
  bool is_in_string = false;
  for (size_t i = 0; i < json.size(); ++i) {
    const char character = json[i];
    if (character == '"')
      is_in_string = !is_in_string;
    else if (is_in_string)
      i += character == '\\' ? 1 : 0;
    else if (character == ',' || character == '[' || character == '{')
      ++values;
  }
  return values > max;
}

}  // namespace dogwoodfall
