#ifndef DOGWOODFALL_MODULES_PORTS_STORE_CALL_H_
#define DOGWOODFALL_MODULES_PORTS_STORE_CALL_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dogwoodfall {

/** Condition of a transaction: the key was last changed at this revision. */
struct StoreCompare {
  std::string key;
  /** 0 when the key must not exist. */
  uint64_t mod_revision = 0;
};

/** Writes a value. */
struct StorePut {
  std::string key;
  std::string value;
};

/** Reads one key, or all keys with a prefix. */
struct StoreRead {
  std::string key;
  bool is_prefix = false;
};

/** Compare-and-swap: all puts and deletes happen if all compares hold. */
struct StoreTransaction {
  std::vector<StoreCompare> compares;
  std::vector<StorePut> puts;
  /** Keys to delete; one that ends in '/' stands for all keys below it. */
  std::vector<std::string> deletes;
};

/** One call to the platform's store. */
using StoreRequest = std::variant<StoreRead, StoreTransaction>;

/** What a call is for; calls are counted by it. */
enum class StorePurpose : uint8_t {
  kConfiguration = 0,
  kClaim = 1,
  kOwnership = 2,
  kSuccessorRecord = 3,
};

/** The name used in metrics: configuration, claim, ownership or stop_note. */
const char* NameOf(StorePurpose purpose);

/** A key with its value. */
struct StoreItem {
  std::string key;
  std::string value;
  uint64_t mod_revision = 0;
};

/** How a store call ended. */
enum class StoreOutcome : uint8_t {
  /** Read, or written. */
  kDone = 0,
  /** A compare did not hold; nothing was written. */
  kCompareFailed = 1,
  /** No answer: a write may have taken effect, or may still do so. */
  kUnknown = 2,
};

/** Answer to a store call. */
struct StoreReply {
  StoreOutcome outcome = StoreOutcome::kUnknown;
  /** The store's revision when it answered. */
  uint64_t revision = 0;
  /** Identity of the store's history; another one after a restore. */
  uint64_t cluster_id = 0;
  std::vector<StoreItem> items;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_PORTS_STORE_CALL_H_
