#ifndef DOGWOODFALL_MODULES_CORE_ROUTING_RENDEZVOUS_H_
#define DOGWOODFALL_MODULES_CORE_ROUTING_RENDEZVOUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace dogwoodfall {

/** A daemon that may be chosen, with its share. */
struct Candidate {
  DaemonId id;
  uint32_t weight = 1;
};

/** Chooses one candidate for a key by weighted rendezvous hashing: every
 * process chooses the same one, and when a candidate comes or goes only the
 * keys it gains or loses move. There must be a candidate.
 */
const Candidate& ChooseByRendezvous(const std::vector<Candidate>& candidates,
                                    const std::string& key);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_ROUTING_RENDEZVOUS_H_
