#ifndef DOGWOODFALL_MODULES_ADAPTERS_STORE_STORE_GATEWAY_H_
#define DOGWOODFALL_MODULES_ADAPTERS_STORE_STORE_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "adapters/http/http_client.h"
#include "base/millis.h"
#include "ports/store_call.h"

namespace dogwoodfall {

/** Client of the platform's store. Uses the etcd v3 JSON gateway
 * (/v3/kv/range and /v3/kv/txn).
 */
class StoreGateway {
 public:
  using Callback = std::function<void(const StoreReply&)>;

  /** @param http must outlive the gateway
   * @param timeout time without a response after which a call fails
   */
  StoreGateway(HttpClient& http, HttpAddress address, Millis timeout);

  /** Makes a call. The callback is called exactly once, with the outcome
   * kUnknown when there is no valid response.
   */
  void Call(StorePurpose purpose,
            const StoreRequest& request,
            Callback callback);

  /** Number of calls by purpose. */
  const std::map<StorePurpose, uint64_t>& Calls() const { return this->calls; }

  /** Number of calls without a valid response. */
  uint64_t Unanswered() const { return this->unanswered; }

 private:
  HttpClient& http;
  HttpAddress address;
  Millis timeout;
  std::map<StorePurpose, uint64_t> calls;
  uint64_t unanswered = 0;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_STORE_STORE_GATEWAY_H_
