#include "core/node/node_events.h"

#include <utility>

#include "core/node/drain_flow.h"
#include "core/node/home_flow.h"
#include "core/node/peer_flow.h"
#include "core/node/request_flow.h"
#include "core/node/scheduler_flow.h"
#include "core/node/store_flow.h"

namespace dogwoodfall {

void OnSubmit(Node& node,
              Millis now,
              CallerToken caller,
              Submission submission,
              Actions& actions) {
  SubmitForward request;
  request.submission = std::move(submission);
  HandleRequest(node, now, {caller, std::nullopt}, std::move(request), actions);
  MakeStoreCalls(node, now, actions);
}

void OnStatus(Node& node,
              Millis now,
              CallerToken caller,
              const CustomerId& customer,
              const SubmissionId& submission,
              Millis wait,
              Actions& actions) {
  StatusForward request;
  request.customer = customer;
  request.submission = submission;
  request.wait = wait;
  HandleRequest(node, now, {caller, std::nullopt}, std::move(request), actions);
}

void OnCancel(Node& node,
              Millis now,
              CallerToken caller,
              const CustomerId& customer,
              const SubmissionId& submission,
              Actions& actions) {
  CancelForward request;
  request.customer = customer;
  request.submission = submission;
  HandleRequest(node, now, {caller, std::nullopt}, std::move(request), actions);
  Pump(node, now, actions);
}

SubmissionId OnMint(Node& node, Millis now) {
  return MintId(node.ledger, node.settings.self, node.settings.zone, now);
}

void OnEndpointEvent(Node& node,
                     Millis now,
                     const EndpointEvent& event,
                     Actions& actions) {
  TakeEndpointEvent(node, now, event, actions);
}

void OnInstanceList(Node& node,
                    Millis now,
                    const InstanceList& list,
                    Actions& actions) {
  ApplyList(node.membership, list, node.settings.membership, now);
  FindEndedLives(node, now, actions);
  UpdateOwnedEndpoints(node, now);
  Pump(node, now, actions);
}

void OnTick(Node& node, Millis now, Actions& actions) {
  FindEndedLives(node, now, actions);
  ExpireLeases(node, now, actions);
  ExpireSubmissions(node, now, actions);
  ExpireClaims(node, now, actions);
  ExpireForwards(node, now, actions);
  ExpirePolls(node, now, actions);
  ForgetExpiredSubmissions(node.ledger, node.settings.ledger, now);
  ForgetExpiredClaims(node.claims, node.settings.claims, now);
  if (now >= node.next_heartbeat) {
    node.next_heartbeat = now + node.settings.heartbeat_period;
    UpdateOwnedEndpoints(node, now);
    SendHeartbeats(node, now, actions);
  }
  MakeStoreCalls(node, now, actions);
  StepDrain(node, now, actions);
  Pump(node, now, actions);
  SendDueFrames(node.sessions, node.settings.sessions, now, actions);
}

}  // namespace dogwoodfall
