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

/** What an id that a daemon minted says. */
struct MintedId {
  ZoneId zone;
  /** The daemon life that alone decides whether the id is new. */
  DaemonRef home;
  /** Time of minting by the home's clock. */
  Millis minted_at;
  uint64_t counter = 0;
};

/** What an id that a caller chose says. */
struct CallerChosenId {
  std::string name;
  /** Time of first sending by the caller's clock. */
  Millis first_sent_at;
};

/** What the text of an id says. */
using ParsedId = std::variant<MintedId, CallerChosenId>;

/** Key of a submission in the ledger: the id, and for ids that callers chose
 * also the customer, so that two customers may choose the same one.
 */
using SubmissionKey = StrongId<struct SubmissionKeyTag, std::string>;

/** Longest id, in bytes. */
inline constexpr size_t kMaxSubmissionIdBytes = 200;

/** The text of a minted id: m1.ZONE.DAEMON.INCARNATION.MILLIS.COUNTER. */
SubmissionId FormatMintedId(const MintedId& id);

/** Reads an id. Fails with kBadSubmissionId when it is neither a minted id
 * nor NAME@MILLIS with a NAME of letters, digits and . _ : - */
Result<ParsedId> ParseSubmissionId(const SubmissionId& id);

/** The ledger's key of a customer's submission. */
SubmissionKey KeyOf(const CustomerId& customer, const SubmissionId& id);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_CORE_LEDGER_SUBMISSION_ID_H_
