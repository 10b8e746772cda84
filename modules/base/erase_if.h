#ifndef DOGWOODFALL_MODULES_BASE_ERASE_IF_H_
#define DOGWOODFALL_MODULES_BASE_ERASE_IF_H_

#include <iterator>

namespace dogwoodfall {

/** Erases the entries of a map for which a predicate holds. */
template <typename Map, typename Predicate>
void EraseIf(Map& map, Predicate predicate) {
  for (auto entry = map.begin(); entry != map.end();)
    entry = predicate(entry->second) ? map.erase(entry) : std::next(entry);
}

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_BASE_ERASE_IF_H_
