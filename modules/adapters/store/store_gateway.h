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

/** Calls the platform's store with the messages of the etcd v3 JSON gateway
 * (/v3/kv/range and /v3/kv/txn).
 */
class StoreGateway {
 public:
  using Callback = std::function<void(const StoreReply&)>;

  /** @param http must live as long as the gateway
   * @param timeout time after which a call has no answer
   */
  StoreGateway(HttpClient& http, HttpAddress address, Millis timeout);

  /** Makes a call; the callback is called exactly once. */
  void Call(StorePurpose purpose,
            const StoreRequest& request,
            Callback callback);

  /** Calls so far by purpose. */
  const std::map<StorePurpose, uint64_t>& Calls() const { return this->calls; }

  /** Calls without an answer so far. */
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
