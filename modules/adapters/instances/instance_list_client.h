#ifndef DOGWOODFALL_MODULES_ADAPTERS_INSTANCES_INSTANCE_LIST_CLIENT_H_
#define DOGWOODFALL_MODULES_ADAPTERS_INSTANCES_INSTANCE_LIST_CLIENT_H_

#include <functional>
#include <string>

#include "adapters/http/http_client.h"
#include "base/result.h"
#include "model/instance_list.h"

namespace dogwoodfall {

/** Reads the platform's list of instances: GET /v1/instances. */
class InstanceListClient {
 public:
  using Handler = std::function<void(const InstanceList&)>;

  /** @param http must live as long as the client */
  InstanceListClient(HttpClient& http, HttpAddress address, Handler handler);

  /** Reads the list unless a read is under way. An unreadable one is counted
   * and dropped.
   */
  void Read();

  /** Reads that failed or gave no list. */
  uint64_t Failures() const { return this->failures; }

 private:
  HttpClient& http;
  HttpAddress address;
  Handler handler;
  bool reading = false;
  uint64_t failures = 0;
};

/** Reads the text of a list; fails with kMalformedRequest. */
Result<InstanceList> ParseInstanceList(const std::string& text);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_INSTANCES_INSTANCE_LIST_CLIENT_H_
