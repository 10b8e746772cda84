#ifndef DOGWOODFALL_MODULES_CORE_LEDGER_SUBMISSION_ID_H_
#define DOGWOODFALL_MODULES_CORE_LEDGER_SUBMISSION_ID_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/ids.h"
#include "base/millis.h"
#include "base/result.h"
#include "model/daemon_ref.h"

namespace dogwoodfall {

/** Parsed id that was minted by a daemon. */
struct MintedId {
  ZoneId zone;
  /** The only incarnation that decides whether the id is new. */
  DaemonRef home;
  /** Time of minting, by the home's clock. */
  Millis minted_at;
  uint64_t counter = 0;
};

/** Parsed id that was chosen by a caller. */
struct CallerChosenId {
  std::string name;
  /** Time at which it was first sent, by the caller's clock. */
  Millis first_sent_at;
};

using ParsedId = std::variant<MintedId, CallerChosenId>;

/** Key of a submission in the ledger: the id, prefixed with the customer for
 * caller-chosen ids, so that two customers may choose the same one.
 */
using SubmissionKey = StrongId<struct SubmissionKeyTag, std::string>;

inline constexpr size_t kMaxSubmissionIdBytes = 200;

/** Formats a minted id as m1.ZONE.DAEMON.INCARNATION.MILLIS.COUNTER. */
SubmissionId FormatMintedId(const MintedId& id);

/** Parses an id. Fails with kBadSubmissionId when it is neither a minted id
 * nor NAME@MILLIS with a NAME of letters, digits and . _ : -
 */
Result<ParsedId> ParseSubmissionId(const SubmissionId& id);

/** Returns the ledger key of a customer's submission. */
SubmissionKey KeyOf(const CustomerId& customer, const SubmissionId& id);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LEDGER_SUBMISSION_ID_H_
