#ifndef DOGWOODFALL_MODULES_ADAPTERS_INSTANCES_INSTANCE_LIST_CLIENT_H_
#define DOGWOODFALL_MODULES_ADAPTERS_INSTANCES_INSTANCE_LIST_CLIENT_H_

#include <functional>
#include <string>

#include "adapters/http/http_client.h"
#include "base/result.h"
#include "model/instance_list.h"

namespace dogwoodfall {

/** Reads the platform's list of instances with GET /v1/instances. */
class InstanceListClient {
 public:
  using Handler = std::function<void(const InstanceList&)>;

  /** @param http must outlive the client
   * @param handler called for each list that was read
   */
  InstanceListClient(HttpClient& http, HttpAddress address, Handler handler);

  /** Starts to read the list, unless a read is pending. A failed read is only
   * counted.
   */
  void Read();

  /** Number of reads without a valid list. */
  uint64_t Failures() const { return this->failures; }

 private:
  HttpClient& http;
  HttpAddress address;
  Handler handler;
  bool is_reading = false;
  uint64_t failures = 0;
};

/** Parses the JSON of an instance list.
 *
 * @return kMalformedRequest when it is not a valid list
 */
Result<InstanceList> ParseInstanceList(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_INSTANCES_INSTANCE_LIST_CLIENT_H_
