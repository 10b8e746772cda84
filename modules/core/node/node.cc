#include "core/node/node.h"

namespace dogwoodfall {

Node OpenNode(const NodeSettings& settings) {
  Node node;
  node.settings = settings;
  node.membership.self = settings.self;
  node.membership.zone = settings.zone;
  node.sessions.self = settings.self;
  node.claims = CreateClaimRegistry(settings.self, settings.claims);
  return node;
}

bool IsReady(const Node& node) {
  return node.configuration.revision > 0 &&
         node.drain.phase == DrainPhase::kServing;
}

}  // namespace dogwoodfall
