#include "key_value_table.h"

#include <variant>

namespace dogwoodfall {
namespace {

bool HasPrefix(const std::string& key, const std::string& prefix) {
  return key.compare(0, prefix.size(), prefix) == 0;
}

StoreReply Read(const KeyValueTable& table, const StoreRead& read) {
  StoreReply reply;
  reply.outcome = StoreOutcome::kDone;
  reply.revision = table.revision;
  reply.cluster_id = table.cluster_id;
  for (auto entry = table.entries.lower_bound(read.key);
       entry != table.entries.end(); ++entry) {
    const bool matches = read.is_prefix ? HasPrefix(entry->first, read.key)
                                        : entry->first == read.key;
    if (!matches)
      break;
    reply.items.push_back(
        {entry->first, entry->second.value, entry->second.mod_revision});
  }
  return reply;
}

bool IsRevisionEqual(const KeyValueTable& table, const StoreCompare& compare) {
  const auto found = table.entries.find(compare.key);
  const uint64_t current_revision =
      found == table.entries.end() ? 0 : found->second.mod_revision;
  return current_revision == compare.mod_revision;
}

/** Deletes a key, or all keys with a prefix when the key ends in a slash. */
void Delete(KeyValueTable& table, const std::string& key) {
  if (key.empty() || key.back() != '/') {
    table.entries.erase(key);
    return;
  }
  auto entry = table.entries.lower_bound(key);
  while (entry != table.entries.end() && HasPrefix(entry->first, key))
    entry = table.entries.erase(entry);
}

StoreReply Write(KeyValueTable& table, const StoreTransaction& transaction) {
  StoreReply reply;
  reply.revision = table.revision;
  reply.cluster_id = table.cluster_id;
  reply.outcome = StoreOutcome::kCompareFailed;
  for (const StoreCompare& compare : transaction.compares) {
    if (!IsRevisionEqual(table, compare))
      return reply;
  }
  ++table.revision;
  for (const std::string& key : transaction.deletes)
    Delete(table, key);
  for (const StorePut& put : transaction.puts)
    table.entries[put.key] = {put.value, table.revision};
  reply.outcome = StoreOutcome::kDone;
  reply.revision = table.revision;
  return reply;
}

}  // namespace

StoreReply Apply(KeyValueTable& table, const StoreRequest& request) {
  if (const auto* read = std::get_if<StoreRead>(&request))
    return Read(table, *read);
  return Write(table, std::get<StoreTransaction>(request));
}

}  // namespace dogwoodfall
