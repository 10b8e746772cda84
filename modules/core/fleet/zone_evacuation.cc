#include "core/fleet/zone_evacuation.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <variant>

namespace dogwoodfall {
namespace {

/** A change of the request for a zone. */
struct RequestChange {
  ZoneId zone;
  uint64_t revision = 0;
  bool is_evacuated = false;
};

/** Returns the change of a request that an item contains; none for other items.
 * A change whose revision can't be parsed counts as the latest one of its
 * update. A later revision than that of the update can't be right; it would
 * hide all changes up to it.
 */
std::optional<RequestChange> FindRequestChange(const StoreChange& change,
                                               uint64_t update_revision) {
  const auto revision_or_latest = [update_revision](uint64_t revision) {
    return revision == 0 ? update_revision
                         : std::min(revision, update_revision);
  };
  if (const auto* request = std::get_if<EvacuationRequested>(&change))
    return RequestChange{request->zone, revision_or_latest(request->revision),
                         true};
  if (const auto* withdrawal = std::get_if<EvacuationWithdrawn>(&change))
    return RequestChange{withdrawal->zone,
                         revision_or_latest(withdrawal->revision), false};
  return std::nullopt;
}

/** Returns the changes of requests, in the order of their revisions. */
std::vector<RequestChange> CollectRequestChanges(const StoreUpdate& update) {
  std::vector<RequestChange> changes;
  for (const StoreChange& change : update.changes) {
    if (const auto found = FindRequestChange(change, update.revision))
      changes.push_back(*found);
  }
  std::stable_sort(changes.begin(), changes.end(),
                   [](const RequestChange& a, const RequestChange& b) {
                     return a.revision < b.revision;
                   });
  return changes;
}

void ApplyRequestChange(std::map<ZoneId, uint64_t>& zones,
                        const RequestChange& change) {
  if (change.is_evacuated)
    zones[change.zone] = change.revision;
  else
    zones.erase(change.zone);
}

bool ApplyChanges(EvacuationState& state,
                  const std::vector<RequestChange>& changes) {
  bool has_changed = false;
  for (const RequestChange& change : changes) {
    if (change.revision <= state.revision)
      continue;
    ApplyRequestChange(state.zones, change);
    state.revision = change.revision;
    has_changed = true;
  }
  return has_changed;
}

/** Applies a list of all requests. Its pages are read one after the other, so
 * that it may contain requests of later revisions than its own and lack other
 * changes made by then. These are read as changes afterwards.
 */
bool ApplyList(EvacuationState& state,
               const std::vector<RequestChange>& listed,
               uint64_t list_revision) {
  if (list_revision < state.revision)
    return false;
  EvacuationState read;
  read.revision = EvacuationState::kNoRequests;
  for (const RequestChange& request : listed) {
    ApplyRequestChange(read.zones, request);
    read.revision =
        std::max(read.revision, std::min(request.revision, list_revision));
  }
  if (state.revision != 0 && read.zones == state.zones)
    return false;
  // The revision at which a missing request was removed is not known.
  if (state.revision != 0)
    read.revision = list_revision;
  state = read;
  return true;
}

}  // namespace

bool ApplyEvacuationUpdate(EvacuationState& state, const StoreUpdate& update) {
  if (update.scope != ItemScope::kRoutes)
    return false;
  const std::vector<RequestChange> changes = CollectRequestChanges(update);
  return update.is_snapshot ? ApplyList(state, changes, update.revision)
                            : ApplyChanges(state, changes);
}

bool ApplyEvacuationNotice(EvacuationState& state,
                           const EvacuationNotice& notice,
                           uint64_t followed_to) {
  if (notice.revision <= state.revision)
    return false;
  std::map<ZoneId, uint64_t> zones;
  for (const ZoneEvacuation& evacuation : notice.zones)
    zones[evacuation.zone] = evacuation.revision;
  if (state.revision != 0 && notice.revision <= followed_to) {
    // The higher revision makes this daemon send its state to the peer.
    state.revision = zones == state.zones ? notice.revision : followed_to;
    return false;
  }
  state = {notice.revision, std::move(zones)};
  return true;
}

EvacuationNotice MakeEvacuationNotice(const EvacuationState& state) {
  EvacuationNotice notice;
  notice.revision = state.revision;
  for (const auto& [zone, revision] : state.zones)
    notice.zones.push_back({zone, revision});
  return notice;
}

}  // namespace dogwoodfall
