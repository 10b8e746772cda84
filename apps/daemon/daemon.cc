#include "daemon/daemon.h"

#include <event2/event.h>
#include <signal.h>

#include <string>
#include <utility>
#include <variant>

#include "adapters/callers/caller_json.h"
#include "adapters/logging/guard.h"
#include "adapters/logging/logging.h"
#include "adapters/metrics/metrics.h"
#include "adapters/operators/state_dump.h"
#include "core/node/node_events.h"

namespace dogwoodfall {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusNotFound = 404;
constexpr int kExitUnclean = 1;
constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kMicrosPerMilli = 1000;
/** Time for the last answers to be sent after the core has finished. */
constexpr timeval kExitDelay = {0, 200'000};

std::string FormatErrorBody(ResultCode code) {
  return FormatRefusal(code, std::string(RowOf(code).meaning));
}

}  // namespace

Daemon::Daemon(const DaemonSettings& settings) : settings(settings) {
  this->settings.node.self.incarnation =
      Incarnation(static_cast<uint64_t>(this->clock.Start().count));
  this->node = CreateNode(this->settings.node);
}

Result<std::unique_ptr<Daemon>> Daemon::Create(const DaemonSettings& settings) {
  std::unique_ptr<Daemon> created(new Daemon(settings));
  const Result<bool> result = created->Open();
  if (!result.ok())
    return result.error();
  return created;
}

Daemon::~Daemon() {
  for (event* entry : this->events)
    event_free(entry);
  this->caller_server.reset();
  this->operator_server.reset();
  this->peers.reset();
  this->instances.reset();
  this->store.reset();
  this->endpoints.reset();
  this->http.reset();
  if (this->base != nullptr)
    event_base_free(this->base);
}

Result<bool> Daemon::Open() {
  this->base = event_base_new();
  this->http = std::make_unique<HttpClient>(this->base,
                                            this->settings.http_client_limits);
  this->endpoints = std::make_unique<EndpointClient>(
      *this->http, [this](const EndpointEvent& event) {
        this->CallCore([&](Millis now, Actions& actions) {
          OnEndpointEvent(this->node, now, event, actions);
        });
      });
  this->store = std::make_unique<StoreGateway>(
      *this->http, this->settings.store, this->settings.store_timeout);
  this->instances = std::make_unique<InstanceListClient>(
      *this->http, this->settings.instances,
      [this](const InstanceList& list) { this->HandleInstanceList(list); });
  this->callers = std::make_unique<CallerInterface>(
      this->settings.caller_limits, this->MakeCallerRequestHandlers());
  const Result<bool> listen_result = this->OpenListeners();
  if (!listen_result.ok())
    return listen_result.error();
  this->AddTimer(this->settings.tick_period, &Daemon::OnTickTimer);
  this->AddTimer(this->settings.instances_period, &Daemon::OnInstanceListTimer);
  event* terminate_signal =
      evsignal_new(this->base, SIGTERM, &Daemon::OnTerminateSignal, this);
  event_add(terminate_signal, nullptr);
  this->events.push_back(terminate_signal);
  return true;
}

Result<bool> Daemon::OpenListeners() {
  auto caller_server = HttpServer::Create(
      this->base, this->settings.callers.ip, this->settings.callers.port,
      this->settings.caller_connections,
      [this](HttpToken token, const HttpRequest& request) {
        this->callers->Handle(*this->caller_server, token, request);
      },
      &FormatErrorBody);
  if (!caller_server.ok())
    return caller_server.error();
  this->caller_server = caller_server.Take();
  auto operator_server = HttpServer::Create(
      this->base, this->settings.operators.ip, this->settings.operators.port,
      this->settings.operator_connections,
      [this](HttpToken token, const HttpRequest& request) {
        this->HandleOperatorRequest(token, request);
      },
      &FormatErrorBody);
  if (!operator_server.ok())
    return operator_server.error();
  this->operator_server = operator_server.Take();
  auto peers = PeerNetwork::Create(
      this->base, this->settings.peers_ip, this->settings.peer_tcp_port,
      this->settings.peer_udp_port, this->settings.peer_limits,
      [this](const PeerFrame& frame) {
        this->CallCore([&](Millis now, Actions& actions) {
          OnPeerFrame(this->node, now, frame, actions);
        });
      },
      [this](const Heartbeat& heartbeat) {
        this->CallCore([&](Millis now, Actions& actions) {
          OnHeartbeat(this->node, now, heartbeat, actions);
        });
      });
  if (!peers.ok())
    return peers.error();
  this->peers = peers.Take();
  return true;
}

void Daemon::AddTimer(Millis period, void (*callback)(int, short, void*)) {
  const timeval interval = {
      period.count / kMillisPerSecond,
      (period.count % kMillisPerSecond) * kMicrosPerMilli};
  event* timer = event_new(this->base, -1, EV_PERSIST, callback, this);
  event_add(timer, &interval);
  this->events.push_back(timer);
}

CallerRequestHandlers Daemon::MakeCallerRequestHandlers() {
  CallerRequestHandlers handlers;
  handlers.submit = [this](CallerToken caller, Submission submission) {
    this->CallCore([&](Millis now, Actions& actions) {
      OnSubmit(this->node, now, caller, std::move(submission), actions);
    });
  };
  handlers.status = [this](CallerToken caller, const CustomerId& customer,
                           const SubmissionId& id, Millis wait) {
    this->CallCore([&](Millis now, Actions& actions) {
      OnStatus(this->node, now, caller, customer, id, wait, actions);
    });
  };
  handlers.cancel = [this](CallerToken caller, const CustomerId& customer,
                           const SubmissionId& id) {
    this->CallCore([&](Millis now, Actions& actions) {
      OnCancel(this->node, now, caller, customer, id, actions);
    });
  };
  handlers.mint = [this]() { return OnMint(this->node, this->Now()); };
  return handlers;
}

int Daemon::Run() {
  WriteLog({"daemon_started",
            {{"daemon", this->node.settings.self.id.value},
             {"zone", this->node.settings.zone.value},
             {"incarnation",
              std::to_string(this->node.settings.self.incarnation.value)}}});
  this->instances->Read();
  event_base_dispatch(this->base);
  WriteLog({"daemon_stopped", {{"exit", std::to_string(this->exit_code)}}});
  return this->exit_code;
}

void Daemon::OnTickTimer(int, short, void* argument) {
  auto* self = static_cast<Daemon*>(argument);
  self->CallCore([self](Millis now, Actions& actions) {
    OnTick(self->node, now, actions);
  });
}

void Daemon::OnInstanceListTimer(int, short, void* argument) {
  static_cast<Daemon*>(argument)->instances->Read();
}

void Daemon::OnTerminateSignal(int, short, void* argument) {
  auto* self = static_cast<Daemon*>(argument);
  self->CallCore([self](Millis now, Actions& actions) {
    OnDrain(self->node, now, actions);
  });
}

void Daemon::HandleOperatorRequest(HttpToken token,
                                   const HttpRequest& request) {
  HttpServer& server = *this->operator_server;
  const Millis now = this->Now();
  if (request.path == "/health") {
    server.Reply(token, kStatusOk, R"({"healthy":true})");
  } else if (request.path == "/ready") {
    const bool ready = IsReady(this->node);
    server.Reply(token, ready ? kStatusOk : kStatusUnavailable,
                 ready ? R"({"ready":true})" : R"({"ready":false})");
  } else if (request.path == "/metrics") {
    HttpRefusalCounts refusals = this->caller_server->Refusals();
    AddTo(refusals, server.Refusals());
    server.ReplyAs(
        token, kStatusOk,
        FormatMetrics(this->node, this->peers->Counters(), this->store->Calls(),
                      refusals, this->http->ResponsesGivenUp(), now),
        "text/plain; version=0.0.4");
  } else if (request.path == "/state") {
    server.Reply(token, kStatusOk, DumpState(this->node, "", now));
  } else if (request.path.compare(0, 7, "/state/") == 0) {
    server.Reply(token, kStatusOk,
                 DumpState(this->node, request.path.substr(7), now));
  } else if (request.path == "/drain" && request.method == "POST") {
    server.Reply(token, kStatusOk, R"({"draining":true})");
    this->CallCore([this](Millis at, Actions& actions) {
      OnDrain(this->node, at, actions);
    });
  } else {
    server.Reply(token, kStatusNotFound,
                 FormatRefusal(ResultCode::kUnknownPath, request.path));
  }
}

void Daemon::HandleInstanceList(const InstanceList& list) {
  for (const EndpointMember& endpoint : list.endpoints)
    this->endpoints->SetAddress(endpoint.id, {endpoint.ip, endpoint.port});
  this->CallCore([&](Millis now, Actions& actions) {
    OnInstanceList(this->node, now, list, actions);
  });
  std::vector<DaemonMember> members;
  for (const auto& [id, known] : this->node.membership.daemons) {
    if (known.listed)
      members.push_back(known.member);
  }
  this->peers->SetMembers(members);
}

template <typename CoreCall>
void Daemon::CallCore(CoreCall core_call) {
  Actions actions;
  // The actions up to an error are performed, as the state shows them as done.
  RunGuarded("core", [&]() { core_call(this->Now(), actions); });
  for (const Action& action : actions)
    RunGuarded("action", [&]() { this->Perform(action); });
}

void Daemon::Perform(const Action& action) {
  if (const auto* frame = std::get_if<SendFrame>(&action)) {
    if (!this->peers->SendFrame(frame->frame)) {
      this->CallCore([&](Millis now, Actions& actions) {
        OnFrameNotSendable(this->node, now, frame->frame, actions);
      });
    }
  } else if (const auto* heartbeat = std::get_if<SendHeartbeat>(&action)) {
    this->peers->SendHeartbeat(heartbeat->to, heartbeat->heartbeat);
  } else if (const auto* reset = std::get_if<ResetPeerLink>(&action)) {
    this->peers->ResetLink(reset->peer);
  } else if (const auto* start = std::get_if<StartTask>(&action)) {
    this->endpoints->Start(*start);
  } else if (const auto* stop = std::get_if<StopTask>(&action)) {
    this->endpoints->Stop(*stop);
  } else if (const auto* answer = std::get_if<AnswerCaller>(&action)) {
    CallerInterface::Answer(*this->caller_server, *answer);
  } else if (const auto* call = std::get_if<CallStore>(&action)) {
    this->store->Call(call->purpose, call->request,
                      [this, token = call->token](const StoreReply& reply) {
                        this->CallCore([&](Millis now, Actions& actions) {
                          OnStoreReply(this->node, now, token, reply, actions);
                        });
                      });
  } else if (const auto* log = std::get_if<LogEvent>(&action)) {
    WriteLog(*log);
  } else if (const auto* exit = std::get_if<ExitProcess>(&action)) {
    this->exit_code = exit->is_clean ? 0 : kExitUnclean;
    event_base_loopexit(this->base, &kExitDelay);
  }
}

Millis Daemon::Now() const {
  return this->clock.Now();
}

}  // namespace dogwoodfall
