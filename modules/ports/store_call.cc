#include "ports/store_call.h"

namespace dogwoodfall {

const char* NameOf(StorePurpose purpose) {
  switch (purpose) {
    case StorePurpose::kConfiguration:
      return "configuration";
    case StorePurpose::kClaim:
      return "claim";
    case StorePurpose::kOwnership:
      return "ownership";
    case StorePurpose::kSuccessorRecord:
      return "stop_note";
  }
  return "ownership";
}

}  // namespace dogwoodfall
