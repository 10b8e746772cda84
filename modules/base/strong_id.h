#ifndef DOGWOODFALL_MODULES_BASE_STRONG_ID_H_
#define DOGWOODFALL_MODULES_BASE_STRONG_ID_H_

#include <functional>
#include <utility>

namespace dogwoodfall {

/** A value of type Value that only compares with ids of the same Tag.
 *
 * @see ids.h
 */
template <typename Tag, typename Value>
struct StrongId {
  Value value{};

  StrongId() = default;
  explicit StrongId(Value initial) : value(std::move(initial)) {}

  friend bool operator==(const StrongId& a, const StrongId& b) {
    return a.value == b.value;
  }
  friend bool operator!=(const StrongId& a, const StrongId& b) {
    return a.value != b.value;
  }
  friend bool operator<(const StrongId& a, const StrongId& b) {
    return a.value < b.value;
  }
};

}  // namespace dogwoodfall

/** Makes strong ids usable as keys of unordered containers. */
template <typename Tag, typename Value>
struct std::hash<dogwoodfall::StrongId<Tag, Value>> {
  size_t operator()(const dogwoodfall::StrongId<Tag, Value>& id) const {
    return std::hash<Value>()(id.value);
  }
};

#endif  // DOGWOODFALL_MODULES_BASE_STRONG_ID_H_
