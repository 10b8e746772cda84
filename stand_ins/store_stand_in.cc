/** @file
 * Stand-in for the platform's store: implements the messages of the etcd v3
 * JSON gateway that dogwoodfall uses on a table in memory.
 *
 * POST /control with {"mode": M} sets the mode:
 *   ok       calls are executed and answered
 *   down     calls are neither executed nor answered
 *   lose     calls are executed and not answered
 *   slow     calls are executed and answered after "delay_ms"
 * Two more values of M perform an action and leave the mode unchanged:
 *   save     copies the table with its revision
 *   restore  replaces the table by the copy, under a new cluster id
 * GET /control returns the mode, the numbers of reads and writes so far and the
 * revision.
 */

#include <event2/event.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <variant>

#include "adapters/store/store_messages.h"
#include "key_value_table.h"
#include "stand_in_main.h"

namespace {

using dogwoodfall::FromBase64;
using dogwoodfall::HttpRequest;
using dogwoodfall::HttpServer;
using dogwoodfall::HttpToken;
using dogwoodfall::KeyValueTable;
using dogwoodfall::StoreOutcome;
using dogwoodfall::StoreRead;
using dogwoodfall::StoreReply;
using dogwoodfall::StoreRequest;
using dogwoodfall::StoreTransaction;
using dogwoodfall::ToBase64;
using Json = nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kMicrosPerMilli = 1000;

struct Store {
  event_base* base = nullptr;
  std::unique_ptr<HttpServer> server;
  KeyValueTable table;
  KeyValueTable saved;
  std::string mode = "ok";
  int64_t delay_ms = 0;
  uint64_t reads = 0;
  uint64_t writes = 0;
};

std::string DecodeKey(const Json& json) {
  return FromBase64(json.at("key").get<std::string>());
}

StoreTransaction DecodeTransaction(const Json& json) {
  StoreTransaction transaction;
  for (const Json& compare : json.value("compare", Json::array())) {
    transaction.compares.push_back(
        {DecodeKey(compare),
         std::stoull(compare.at("mod_revision").get<std::string>())});
  }
  for (const Json& step : json.value("success", Json::array())) {
    if (step.contains("request_put")) {
      const Json& put = step["request_put"];
      transaction.puts.push_back(
          {DecodeKey(put), FromBase64(put.at("value").get<std::string>())});
    } else {
      transaction.deletes.push_back(DecodeKey(step.at("request_delete_range")));
    }
  }
  return transaction;
}

StoreRequest DecodeRequest(const HttpRequest& request) {
  const Json json = Json::parse(request.body);
  if (request.path == "/v3/kv/range")
    return StoreRead{DecodeKey(json), json.contains("range_end")};
  return DecodeTransaction(json);
}

std::string FormatReply(const StoreRequest& request, const StoreReply& reply) {
  Json json = {{"header",
                {{"revision", std::to_string(reply.revision)},
                 {"cluster_id", std::to_string(reply.cluster_id)}}}};
  if (std::holds_alternative<StoreTransaction>(request)) {
    if (reply.outcome == StoreOutcome::kDone)
      json["succeeded"] = true;
    return json.dump();
  }
  json["kvs"] = Json::array();
  for (const auto& item : reply.items) {
    json["kvs"].push_back(
        {{"key", ToBase64(item.key)},
         {"value", ToBase64(item.value)},
         {"mod_revision", std::to_string(item.mod_revision)}});
  }
  json["count"] = std::to_string(reply.items.size());
  return json.dump();
}

/** Replaces the table by the saved copy. The cluster id changes, by which
 * clients detect that the history of the store has changed.
 */
void Restore(Store& store) {
  const uint64_t cluster_id = store.table.cluster_id;
  store.table = store.saved;
  store.table.cluster_id = cluster_id + 1;
}

void HandleControl(Store& store, HttpToken token, const HttpRequest& request) {
  const Json json = Json::parse(request.body, nullptr, false);
  if (json.is_object()) {
    const std::string mode = json.value("mode", store.mode);
    store.delay_ms = json.value("delay_ms", store.delay_ms);
    if (mode == "save")
      store.saved = store.table;
    else if (mode == "restore")
      Restore(store);
    else
      store.mode = mode;
  }
  store.server->Reply(token, kStatusOk,
                      Json{{"mode", store.mode},
                           {"reads", store.reads},
                           {"writes", store.writes},
                           {"revision", store.table.revision}}
                          .dump());
}

struct DelayedReply {
  Store& store;
  HttpToken token;
  std::string body;
};

void ReplyAfterDelay(Store& store, HttpToken token, std::string body) {
  const timeval delay = {store.delay_ms / kMillisPerSecond,
                         (store.delay_ms % kMillisPerSecond) * kMicrosPerMilli};
  auto* reply = new DelayedReply{store, token, std::move(body)};
  event_base_once(
      store.base, -1, EV_TIMEOUT,
      [](evutil_socket_t, short, void* argument) {
        const std::unique_ptr<DelayedReply> due(
            static_cast<DelayedReply*>(argument));
        due->store.server->Reply(due->token, kStatusOk, due->body);
      },
      reply, &delay);
}

void HandleRequest(Store& store, HttpToken token, const HttpRequest& request) {
  if (request.path == "/control") {
    HandleControl(store, token, request);
    return;
  }
  if (store.mode == "down")
    return;
  try {
    const StoreRequest call = DecodeRequest(request);
    ++(std::holds_alternative<StoreRead>(call) ? store.reads : store.writes);
    const std::string body =
        FormatReply(call, dogwoodfall::Apply(store.table, call));
    if (store.mode == "lose")
      return;
    if (store.mode == "slow")
      ReplyAfterDelay(store, token, body);
    else
      store.server->Reply(token, kStatusOk, body);
  } catch (const std::exception& exception) {
    store.server->Reply(token, kStatusBadRequest,
                        Json{{"error", exception.what()}}.dump());
  }
}

}  // namespace

int main(int argc, char** argv) {
  Store store;
  store.base = event_base_new();
  const auto port = static_cast<uint16_t>(
      dogwoodfall::GetNumberOption(argc, argv, "port", 0));
  store.server = dogwoodfall::ListenOrExit(
      store.base, port, [&store](HttpToken token, const HttpRequest& request) {
        HandleRequest(store, token, request);
      });
  event_base_dispatch(store.base);
  return 0;
}
