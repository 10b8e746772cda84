#ifndef DOGWOODFALL_APPS_DAEMON_DAEMON_H_
#define DOGWOODFALL_APPS_DAEMON_DAEMON_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "adapters/callers/caller_interface.h"
#include "adapters/endpoints/endpoint_client.h"
#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "adapters/instances/instance_list_client.h"
#include "adapters/peers/peer_network.h"
#include "adapters/store/store_gateway.h"
#include "base/process_clock.h"
#include "base/result.h"
#include "core/node/node.h"
#include "ports/action.h"
#include "settings/settings.h"

struct event;
struct event_base;

namespace dogwoodfall {

/** The daemon process: one event loop on one thread that passes events to the
 * core and performs the actions that it returns.
 */
class Daemon {
 public:
  /** Opens all listeners.
   *
   * @return kConnectionFailed when an address can't be bound
   */
  static Result<std::unique_ptr<Daemon>> Create(const DaemonSettings& settings);

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  /** Runs until the graceful shutdown is complete. Returns the exit code: 0
   * when everything was handed over, 1 when the drain timeout expired first.
   */
  int Run();

 private:
  explicit Daemon(const DaemonSettings& settings);

  static void OnTickTimer(int socket, short what, void* self);
  static void OnInstanceListTimer(int socket, short what, void* self);
  static void OnTerminateSignal(int signal, short what, void* self);

  Result<bool> Open();
  Result<bool> OpenListeners();
  void AddTimer(Millis period, void (*callback)(int, short, void*));
  CallerRequestHandlers MakeCallerRequestHandlers();
  void HandleOperatorRequest(HttpToken token, const HttpRequest& request);
  void HandleInstanceList(const InstanceList& list);

  /** Calls the core and performs the actions that it returns.
   *
   * @param core_call  called with the current time and the list of actions,
   *                   which it appends to
   */
  template <typename CoreCall>
  void CallCore(CoreCall core_call);
  void Perform(const Action& action);

  Millis Now() const;

  DaemonSettings settings;
  Node node;
  event_base* base = nullptr;
  std::vector<event*> events;
  ProcessClock clock;
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<EndpointClient> endpoints;
  std::unique_ptr<StoreGateway> store;
  std::unique_ptr<InstanceListClient> instances;
  std::unique_ptr<PeerNetwork> peers;
  std::unique_ptr<CallerInterface> callers;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> operator_server;
  int exit_code = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_APPS_DAEMON_DAEMON_H_
