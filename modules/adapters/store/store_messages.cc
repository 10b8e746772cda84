#include "adapters/store/store_messages.h"

#include <openssl/evp.h>

#include <nlohmann/json.hpp>
#include <vector>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;

constexpr size_t kBase64CharsPerGroup = 4;
constexpr size_t kBytesPerGroup = 3;

Json MakeRangeJson(const std::string& key, bool is_prefix) {
  Json json = {{"key", ToBase64(key)}};
  if (is_prefix)
    json["range_end"] = ToBase64(PrefixEnd(key));
  return json;
}

Json MakeTransactionJson(const StoreTransaction& transaction) {
  Json compares = Json::array();
  for (const StoreCompare& compare : transaction.compares) {
    compares.push_back(
        {{"key", ToBase64(compare.key)},
         {"target", "MOD"},
         {"result", "EQUAL"},
         {"mod_revision", std::to_string(compare.mod_revision)}});
  }
  Json success = Json::array();
  for (const std::string& key : transaction.deletes) {
    const bool is_prefix = !key.empty() && key.back() == '/';
    success.push_back(
        {{"request_delete_range", MakeRangeJson(key, is_prefix)}});
  }
  for (const StorePut& put : transaction.puts) {
    success.push_back(
        {{"request_put",
          {{"key", ToBase64(put.key)}, {"value", ToBase64(put.value)}}}});
  }
  return {{"compare", compares}, {"success", success}};
}

/** Parses a 64-bit number, which the gateway's JSON encodes as a string. */
uint64_t ParseNumber(const Json& json) {
  if (json.is_string())
    return std::stoull(json.get<std::string>());
  return json.get<uint64_t>();
}

StoreReply ParseReply(const StoreRequest& request, const Json& json) {
  StoreReply reply;
  reply.revision = ParseNumber(json.at("header").at("revision"));
  if (json["header"].contains("cluster_id"))
    reply.cluster_id = ParseNumber(json["header"]["cluster_id"]);
  if (std::holds_alternative<StoreTransaction>(request)) {
    reply.outcome = json.value("succeeded", false)
                        ? StoreOutcome::kDone
                        : StoreOutcome::kCompareFailed;
    return reply;
  }
  for (const Json& entry : json.value("kvs", Json::array())) {
    reply.items.push_back({FromBase64(entry.at("key").get<std::string>()),
                           FromBase64(entry.value("value", std::string())),
                           ParseNumber(entry.at("mod_revision"))});
  }
  reply.outcome = StoreOutcome::kDone;
  return reply;
}

}  // namespace

std::string MakeGatewayPath(const StoreRequest& request) {
  return std::holds_alternative<StoreRead>(request) ? "/v3/kv/range"
                                                    : "/v3/kv/txn";
}

std::string MakeGatewayBody(const StoreRequest& request) {
  if (const auto* read = std::get_if<StoreRead>(&request))
    return MakeRangeJson(read->key, read->is_prefix).dump();
  return MakeTransactionJson(std::get<StoreTransaction>(request)).dump();
}

StoreReply ParseGatewayReply(const StoreRequest& request,
                             const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  try {
    return ParseReply(request, json);
  } catch (const std::exception&) {
    return StoreReply{};
  }
}

std::string ToBase64(const std::string& bytes) {
  const size_t groups = (bytes.size() + kBytesPerGroup - 1) / kBytesPerGroup;
  std::vector<unsigned char> text(groups * kBase64CharsPerGroup + 1);
  const int size = EVP_EncodeBlock(
      text.data(), reinterpret_cast<const unsigned char*>(bytes.data()),
      static_cast<int>(bytes.size()));
  return {text.begin(), text.begin() + size};
}

std::string FromBase64(const std::string& text) {
  if (text.empty() || text.size() % kBase64CharsPerGroup != 0)
    return {};
  std::vector<unsigned char> bytes(text.size() / kBase64CharsPerGroup *
                                   kBytesPerGroup);
  const int size = EVP_DecodeBlock(
      bytes.data(), reinterpret_cast<const unsigned char*>(text.data()),
      static_cast<int>(text.size()));
  if (size < 0)
    return {};
  const size_t padding = text[text.size() - 1] != '='   ? 0
                         : text[text.size() - 2] != '=' ? 1
                                                        : 2;
  return {bytes.begin(),
          bytes.begin() + size - static_cast<ptrdiff_t>(padding)};
}

std::string PrefixEnd(std::string prefix) {
  // Keys are ASCII text, so the last byte is never 255 and can't overflow.
  prefix.back() = static_cast<char>(prefix.back() + 1);
  return prefix;
}

}  // namespace dogwoodfall
