#ifndef DOGWOODFALL_APPS_DAEMON_FLEET_DAEMON_H_
#define DOGWOODFALL_APPS_DAEMON_FLEET_DAEMON_H_

#include <memory>
#include <vector>

#include "adapters/http/http_client.h"
#include "adapters/http/http_server.h"
#include "adapters/peers/peer_network.h"
#include "base/process_clock.h"
#include "base/result.h"
#include "core/fleet/fleet_node.h"
#include "platform/caller_gateway.h"
#include "platform/endpoint_gateway.h"
#include "platform/platform_store.h"
#include "ports/action.h"
#include "settings/fleet_settings.h"

struct event;
struct event_base;

namespace dogwoodfall {

/** The daemon process on the users' platform: one event loop on one thread that
 * passes events to the core and performs the actions that it returns.
 */
class FleetDaemon {
 public:
  /** Opens all listeners.
   *
   * @return kConnectionFailed when an address can't be bound
   */
  static Result<std::unique_ptr<FleetDaemon>> Create(
      const FleetSettings& settings);

  FleetDaemon(const FleetDaemon&) = delete;
  FleetDaemon& operator=(const FleetDaemon&) = delete;
  ~FleetDaemon();

  /** Runs until the graceful shutdown is complete. Returns the exit code: 0
   * when every caller was answered, 1 when the time limit for that expired
   * first.
   */
  int Run();

 private:
  explicit FleetDaemon(const FleetSettings& settings);

  static void OnTickTimer(int socket, short what, void* self);
  static void OnTerminateSignal(int signal, short what, void* self);
  static void OnReloadSignal(int signal, short what, void* self);

  Result<bool> Open();
  Result<bool> OpenListeners();
  Result<std::unique_ptr<HttpServer>> Listen(const HttpAddress& address,
                                             const HttpServerLimits& limits,
                                             HttpServer::Handler handler);
  Result<bool> OpenPeers();
  void BeginShutdown();
  void AddSignal(int signal, void (*callback)(int, short, void*));
  /** Calls a handler of operators' requests; answers 500 when it throws. */
  template <typename Handler>
  void AnswerOperator(HttpServer& server, HttpToken token, Handler handler);
  void HandleOperatorRequest(HttpServer& server,
                             HttpToken token,
                             const HttpRequest& request);
  /** Serves the metrics only: their listener may be open to more readers than
   * the operators' one.
   */
  void HandleMetricsRequest(HttpServer& server,
                            HttpToken token,
                            const HttpRequest& request);

  /** Calls the core and performs the actions that it returns.
   *
   * @param core_call  called with the current time and the list of actions,
   *                   which it appends to
   */
  template <typename CoreCall>
  void CallCore(CoreCall core_call);
  void Perform(const Action& action);

  FleetSettings settings;
  ProcessClock clock;
  FleetNode node;
  event_base* base = nullptr;
  std::vector<event*> events;
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<EndpointGateway> endpoints;
  std::unique_ptr<PlatformStore> store;
  std::unique_ptr<PeerNetwork> peers;
  std::unique_ptr<CallerGateway> callers;
  std::unique_ptr<HttpServer> caller_server;
  std::unique_ptr<HttpServer> readiness_server;
  std::unique_ptr<HttpServer> operator_server;
  std::unique_ptr<HttpServer> metrics_server;
  int exit_code = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_APPS_DAEMON_FLEET_DAEMON_H_
