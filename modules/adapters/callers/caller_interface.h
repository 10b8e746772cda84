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

/** What the callers' interface asks of the core. */
struct CallerRequestHandlers {
  std::function<void(CallerToken, Submission)> submit;
  std::function<
      void(CallerToken, const CustomerId&, const SubmissionId&, Millis wait)>
      status;
  std::function<void(CallerToken, const CustomerId&, const SubmissionId&)>
      cancel;
  std::function<SubmissionId()> mint;
};

/** The callers' paths: POST /v1/jobs, POST /v1/requests, POST /v1/ids,
 * GET /v1/submissions/ID and POST /v1/submissions/ID/cancel. docs/CALLERS.md
 * describes them.
 */
class CallerInterface {
 public:
  CallerInterface(const CallerLimits& limits, CallerRequestHandlers events);

  /** Takes a request of the callers' listener. */
  void Handle(HttpServer& server, HttpToken token, const HttpRequest& request);

  /** Sends an answer of the core. */
  static void Answer(HttpServer& server, const AnswerCaller& action);

 private:
  void HandleSubmission(HttpServer& server,
                        HttpToken token,
                        const HttpRequest& request);

  CallerLimits limits;
  CallerRequestHandlers events;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_CALLERS_CALLER_INTERFACE_H_
