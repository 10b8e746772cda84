#ifndef DOGWOODFALL_MODULES_ADAPTERS_CALLERS_CALLER_INTERFACE_H_
#define DOGWOODFALL_MODULES_ADAPTERS_CALLERS_CALLER_INTERFACE_H_

#include <functional>
#include <string>

#include "adapters/callers/caller_json.h"
#include "adapters/http/http_server.h"
#include "base/ids.h"
#include "base/millis.h"
#include "model/submission.h"
#include "ports/action.h"

namespace dogwoodfall {

/** Functions of the core that the interface calls for requests of callers. */
struct CallerRequestHandlers {
  std::function<void(CallerToken, Submission)> submit;
  std::function<
      void(CallerToken, const CustomerId&, const SubmissionId&, Millis wait)>
      status;
  std::function<void(CallerToken, const CustomerId&, const SubmissionId&)>
      cancel;
  std::function<SubmissionId()> mint;
};

/** HTTP interface for callers.
 *
 * Serves POST /v1/jobs, POST /v1/requests, POST /v1/ids,
 * GET /v1/submissions/ID and POST /v1/submissions/ID/cancel. See
 * docs/CALLERS.md.
 */
class CallerInterface {
 public:
  CallerInterface(const CallerLimits& limits, CallerRequestHandlers handlers);

  /** Handles a request that arrived at the callers' listener. The reply is sent
   * at once, or later through Answer().
   */
  void Handle(HttpServer& server, HttpToken token, const HttpRequest& request);

  /** Sends an answer of the core to the caller that waits for it. */
  static void Answer(HttpServer& server, const AnswerCaller& action);

 private:
  void HandleSubmissionPath(HttpServer& server,
                            HttpToken token,
                            const HttpRequest& request);

  CallerLimits limits;
  CallerRequestHandlers handlers;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_CALLERS_CALLER_INTERFACE_H_
