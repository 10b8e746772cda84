#ifndef DOGWOODFALL_MODULES_CORE_ROUTING_RENDEZVOUS_H_
#define DOGWOODFALL_MODULES_CORE_ROUTING_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace dogwoodfall {

/** A daemon that may be chosen, with its weight. */
struct Candidate {
  DaemonId id;
  uint32_t weight = 1;
};

/** Chooses a candidate for a key by weighted rendezvous hashing. Every process
 * chooses the same one, and adding or removing a candidate moves only the keys
 * that this candidate gains or loses. The list must not be empty.
 */
const Candidate& ChooseByRendezvous(const std::vector<Candidate>& candidates,
                                    const std::string& key);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_ROUTING_RENDEZVOUS_H_
