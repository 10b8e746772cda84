#ifndef DOGWOODFALL_APPS_CTL_BLOCKING_CALLS_H_
#define DOGWOODFALL_APPS_CTL_BLOCKING_CALLS_H_

#include <string>

#include "adapters/http/http_client.h"
#include "base/millis.h"
#include "base/result.h"
#include "ports/store_call.h"

namespace dogwoodfall {

/** Parses IP:PORT; fails with kValueOutOfRange. */
Result<HttpAddress> ParseAddress(const std::string& text);

/** Makes one HTTP request and blocks until it is answered or the timeout has
 * passed.
 */
HttpResponse CallHttp(const HttpAddress& address,
                      const std::string& method,
                      const std::string& path,
                      const std::string& body,
                      Millis timeout);

/** Makes one store call and blocks until it is answered or the timeout has
 * passed.
 */
StoreReply CallStoreOnce(const HttpAddress& address,
                         const StoreRequest& request,
                         Millis timeout);

/** Reads a whole file, or standard input for "-"; fails with
 * kMalformedRequest.
 */
Result<std::string> ReadWholeFile(const std::string& path);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_APPS_CTL_BLOCKING_CALLS_H_
