#include "daemon/fleet_daemon.h"

#include <event2/event.h>
#include <signal.h>

#include <string>
#include <utility>
#include <variant>

#include "adapters/callers/caller_json.h"
#include "adapters/logging/guard.h"
#include "adapters/logging/logging.h"
#include "adapters/metrics/fleet_metrics.h"
#include "adapters/operators/fleet_state_dump.h"
#include "core/fleet/fleet_events.h"

namespace dogwoodfall {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusNotFound = 404;
constexpr int kStatusError = 500;
constexpr int kExitUnclean = 1;
/** Period of the timer on which the core runs what is due. Retries and
 * heartbeats have periods of 20 ms or more; answers are handled on arrival.
 */
constexpr timeval kTickPeriod = {0, 20'000};
/** Time for the last answers to be sent after the core has finished. */
constexpr timeval kExitDelay = {0, 100'000};

std::string FormatErrorBody(ResultCode code) {
  return FormatRefusal(code, std::string(RowOf(code).meaning));
}

}  // namespace

FleetDaemon::FleetDaemon(const FleetSettings& settings)
    : settings(settings),
      node(CreateFleetNode(
          settings.self,
          Incarnation(static_cast<uint64_t>(this->clock.Start().count)))) {
  this->node.store.max_silence = settings.max_store_silence;
  this->node.scheduler.options = settings.scheduling;
}

Result<std::unique_ptr<FleetDaemon>> FleetDaemon::Create(
    const FleetSettings& settings) {
  std::unique_ptr<FleetDaemon> created(new FleetDaemon(settings));
  const Result<bool> result = created->Open();
  if (!result.ok())
    return result.error();
  return created;
}

FleetDaemon::~FleetDaemon() {
  for (event* entry : this->events)
    event_free(entry);
  this->caller_server.reset();
  this->readiness_server.reset();
  this->operator_server.reset();
  this->metrics_server.reset();
  this->peers.reset();
  this->store.reset();
  this->endpoints.reset();
  this->http.reset();
  if (this->base != nullptr)
    event_base_free(this->base);
}

Result<bool> FleetDaemon::Open() {
  this->base = event_base_new();
  this->http = std::make_unique<HttpClient>(this->base,
                                            this->settings.http_client_limits);
  this->endpoints = std::make_unique<EndpointGateway>(
      *this->http, [this](const EndpointReply& reply) {
        this->CallCore([&](Millis now, Actions& actions) {
          OnEndpointReply(this->node, now, reply, actions);
        });
      });
  this->store =
      std::make_unique<PlatformStore>(*this->http, this->settings.store);
  this->callers = std::make_unique<CallerGateway>(CallerGateway::Callbacks{
      [this]() -> const RouteTable& { return this->node.routes; },
      [this](HttpToken token, const TransientJob& job,
             std::optional<Millis> age) {
        this->CallCore([&](Millis now, Actions& actions) {
          OnJob(this->node, now, CallerToken(token), job, age, actions);
        });
      },
      [this](HttpToken token, const SubmissionId& job) {
        this->CallCore([&](Millis now, Actions& actions) {
          OnCancelJob(this->node, now, CallerToken(token), job, actions);
        });
      },
      &WriteLog});
  const Result<bool> listen_result = this->OpenListeners();
  if (!listen_result.ok())
    return listen_result.error();
  event* tick =
      event_new(this->base, -1, EV_PERSIST, &FleetDaemon::OnTickTimer, this);
  event_add(tick, &kTickPeriod);
  this->events.push_back(tick);
  this->AddSignal(SIGTERM, &FleetDaemon::OnTerminateSignal);
  this->AddSignal(SIGHUP, &FleetDaemon::OnReloadSignal);
  return true;
}

void FleetDaemon::AddSignal(int signal, void (*callback)(int, short, void*)) {
  event* entry = evsignal_new(this->base, signal, callback, this);
  event_add(entry, nullptr);
  this->events.push_back(entry);
}

Result<std::unique_ptr<HttpServer>> FleetDaemon::Listen(
    const HttpAddress& address,
    const HttpServerLimits& limits,
    HttpServer::Handler handler) {
  return HttpServer::Create(this->base, address.ip, address.port, limits,
                            std::move(handler), &FormatErrorBody);
}

Result<bool> FleetDaemon::OpenListeners() {
  HttpServerLimits caller_limits = this->settings.caller_connections;
  caller_limits.captured_headers = CallerHeaders();
  caller_limits.on_caller_disconnected = [this](HttpToken token) {
    this->CallCore([&](Millis now, Actions& actions) {
      OnCallerDisconnected(this->node, now, CallerToken(token), actions);
    });
  };
  auto caller_server = this->Listen(
      this->settings.callers, caller_limits,
      [this](HttpToken token, const HttpRequest& request) {
        const bool is_handled = RunGuarded("caller_request", [&]() {
          this->callers->Handle(*this->caller_server, token, request);
        });
        if (!is_handled)
          this->caller_server->Reply(token, kStatusError, "{}");
      });
  if (!caller_server.ok())
    return caller_server.error();
  this->caller_server = caller_server.Take();
  auto readiness_server = this->Listen(
      this->settings.readiness, this->settings.operator_connections,
      [this](HttpToken token, const HttpRequest&) {
        const bool ready = IsReady(this->node);
        this->readiness_server->Reply(
            token, ready ? kStatusOk : kStatusUnavailable, "{}");
      });
  if (!readiness_server.ok())
    return readiness_server.error();
  this->readiness_server = readiness_server.Take();
  auto operator_server = this->Listen(
      this->settings.operators, this->settings.operator_connections,
      [this](HttpToken token, const HttpRequest& request) {
        this->AnswerOperator(*this->operator_server, token, [&]() {
          this->HandleOperatorRequest(*this->operator_server, token, request);
        });
      });
  if (!operator_server.ok())
    return operator_server.error();
  this->operator_server = operator_server.Take();
  if (this->settings.metrics.port != 0) {
    auto metrics_server = this->Listen(
        this->settings.metrics, this->settings.operator_connections,
        [this](HttpToken token, const HttpRequest& request) {
          this->AnswerOperator(*this->metrics_server, token, [&]() {
            this->HandleMetricsRequest(*this->metrics_server, token, request);
          });
        });
    if (!metrics_server.ok())
      return metrics_server.error();
    this->metrics_server = metrics_server.Take();
  }
  return this->OpenPeers();
}

Result<bool> FleetDaemon::OpenPeers() {
  auto peers = PeerNetwork::Create(
      this->base, this->settings.self.ip, this->settings.self.peer_tcp_port,
      this->settings.self.peer_udp_port, this->settings.peer_limits,
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

int FleetDaemon::Run() {
  WriteLog(
      {"daemon_started",
       {{"daemon", this->node.self.id.value},
        {"zone", this->node.zone.value},
        {"incarnation", std::to_string(this->node.self.incarnation.value)}}});
  this->CallCore([this](Millis now, Actions& actions) {
    OnTick(this->node, now, actions);
  });
  event_base_dispatch(this->base);
  WriteLog({"daemon_stopped", {{"exit", std::to_string(this->exit_code)}}});
  return this->exit_code;
}

void FleetDaemon::OnTickTimer(int, short, void* argument) {
  auto* self = static_cast<FleetDaemon*>(argument);
  self->CallCore([self](Millis now, Actions& actions) {
    OnTick(self->node, now, actions);
  });
}

void FleetDaemon::OnTerminateSignal(int, short, void* argument) {
  auto* self = static_cast<FleetDaemon*>(argument);
  self->BeginShutdown();
}

void FleetDaemon::BeginShutdown() {
  this->caller_server->CloseConnectionsAfterReply();
  this->CallCore([this](Millis now, Actions& actions) {
    OnStop(this->node, now, actions);
  });
}

void FleetDaemon::OnReloadSignal(int, short, void*) {
  // Addresses and sizes are fixed for an incarnation, and routes are read from
  // the store, so no setting is reloaded from the file.
  WriteLog({"reload", {{"changed", "nothing"}}});
}

void FleetDaemon::HandleMetricsRequest(HttpServer& server,
                                       HttpToken token,
                                       const HttpRequest& request) {
  if (request.path != "/metrics") {
    server.Reply(token, kStatusNotFound,
                 FormatRefusal(ResultCode::kUnknownPath, request.path));
    return;
  }
  HttpRefusalCounts refusals = {};
  for (const HttpServer* each :
       {this->caller_server.get(), this->readiness_server.get(),
        this->operator_server.get(), this->metrics_server.get()}) {
    if (each != nullptr)
      AddTo(refusals, each->Refusals());
  }
  server.ReplyAs(token, kStatusOk,
                 FormatFleetMetrics(
                     this->node, this->peers->Counters(), this->store->Calls(),
                     this->http->OpenedConnections(), DroppedLogLines(),
                     refusals, this->http->ResponsesGivenUp()),
                 "text/plain; version=0.0.4");
}

void FleetDaemon::HandleOperatorRequest(HttpServer& server,
                                        HttpToken token,
                                        const HttpRequest& request) {
  if (request.path == "/metrics") {
    this->HandleMetricsRequest(server, token, request);
  } else if (request.path == "/state") {
    server.Reply(token, kStatusOk,
                 DumpFleetState(this->node, this->clock.Now()));
  } else if (request.path == "/drain" && request.method == "POST") {
    server.Reply(token, kStatusOk, R"({"draining":true})");
    this->BeginShutdown();
  } else {
    server.Reply(token, kStatusNotFound,
                 FormatRefusal(ResultCode::kUnknownPath, request.path));
  }
}

template <typename Handler>
void FleetDaemon::AnswerOperator(HttpServer& server,
                                 HttpToken token,
                                 Handler handler) {
  if (!RunGuarded("operator_request", handler))
    server.Reply(token, kStatusError, "{}");
}

template <typename CoreCall>
void FleetDaemon::CallCore(CoreCall core_call) {
  Actions actions;
  // The actions up to an error are performed, as the state shows them as done.
  RunGuarded("core", [&]() { core_call(this->clock.Now(), actions); });
  for (const Action& action : actions)
    RunGuarded("action", [&]() { this->Perform(action); });
}

void FleetDaemon::Perform(const Action& action) {
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
  } else if (const auto* call = std::get_if<CallEndpoint>(&action)) {
    this->endpoints->Send(call->command);
  } else if (const auto* store_call = std::get_if<CallKeyValue>(&action)) {
    this->store->Call(
        store_call->call, store_call->timeout,
        [this, token = store_call->token](const KeyValueReply& reply) {
          this->CallCore([&](Millis now, Actions& actions) {
            OnKeyValueReply(this->node, now, token, reply, actions);
          });
        },
        [this, token = store_call->token]() {
          OnKeyValueReplyArriving(this->node, token);
        });
  } else if (const auto* answer = std::get_if<AnswerJob>(&action)) {
    CallerGateway::Answer(*this->caller_server, answer->caller.value,
                          answer->outcome);
  } else if (const auto* cancellation =
                 std::get_if<AnswerCancellation>(&action)) {
    CallerGateway::AnswerCancelRequest(
        *this->caller_server, cancellation->caller.value, cancellation->result);
  } else if (const auto* members = std::get_if<UpdatePeers>(&action)) {
    this->peers->SetMembers(members->members);
  } else if (const auto* log = std::get_if<LogEvent>(&action)) {
    WriteLog(*log);
  } else if (const auto* exit = std::get_if<ExitProcess>(&action)) {
    this->exit_code = exit->is_clean ? 0 : kExitUnclean;
    event_base_loopexit(this->base, &kExitDelay);
  }
}

}  // namespace dogwoodfall
