#include "adapters/callers/caller_interface.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace dogwoodfall {
namespace {

constexpr std::string_view kSubmissionsPath = "/v1/submissions/";
constexpr std::string_view kCancelSuffix = "/cancel";
constexpr Millis kMaxPollWait{60'000};

void ReplyRefused(HttpServer& server,
                  HttpToken token,
                  ResultCode code,
                  const std::string& detail) {
  server.Reply(token, RowOf(code).http_status, FormatRefusal(code, detail));
}

/** Decodes percent-encoded bytes (%XX). Invalid escapes are kept as they are.
 */
std::string DecodePercentEscapes(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    if (text[i] == '%' && i + 2 < text.size()) {
      const char* digits = text.data() + i + 1;
      const auto [end, error] = std::from_chars(digits, digits + 2, byte, 16);
      if (error == std::errc() && end == digits + 2) {
        decoded += static_cast<char>(byte);
        i += 2;
        continue;
      }
    }
    decoded += text[i];
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> values;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos)
      values[DecodePercentEscapes(pair.substr(0, equals))] =
          DecodePercentEscapes(pair.substr(equals + 1));
  }
  return values;
}

/** Parses wait_ms of a query.
 *
 * @return zero without wait_ms, nothing when it is not a number from 0 to
 * kMaxPollWait
 */
std::optional<Millis> ParseWait(
    const std::map<std::string, std::string>& query) {
  const auto found = query.find("wait_ms");
  if (found == query.end())
    return Millis{};
  Millis wait;
  const std::string& text = found->second;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), wait.count);
  if (error != std::errc() || end != text.data() + text.size() ||
      wait < Millis{} || wait > kMaxPollWait)
    return std::nullopt;
  return wait;
}

bool EndsWith(std::string_view text, std::string_view suffix) {
  return text.size() >= suffix.size() &&
         text.substr(text.size() - suffix.size()) == suffix;
}

}  // namespace

CallerInterface::CallerInterface(const CallerLimits& limits,
                                 CallerRequestHandlers handlers)
    : limits(limits), handlers(std::move(handlers)) {}

void CallerInterface::Handle(HttpServer& server,
                             HttpToken token,
                             const HttpRequest& request) {
  const std::string_view path = request.path;
  if (path.substr(0, kSubmissionsPath.size()) == kSubmissionsPath) {
    this->HandleSubmissionPath(server, token, request);
    return;
  }
  const bool is_job = path == "/v1/jobs";
  if (!is_job && path != "/v1/requests" && path != "/v1/ids") {
    ReplyRefused(server, token, ResultCode::kUnknownPath, request.path);
    return;
  }
  if (request.method != "POST") {
    ReplyRefused(server, token, ResultCode::kMethodNotAllowed, request.method);
    return;
  }
  if (path == "/v1/ids") {
    constexpr int kStatusOk = 200;
    server.Reply(token, kStatusOk, FormatMintResponse(this->handlers.mint()));
    return;
  }
  Result<Submission> submission =
      is_job ? ParseJob(request.body, this->limits)
             : ParseRequest(request.body, this->limits);
  if (!submission.ok()) {
    ReplyRefused(server, token, submission.error().code,
                 submission.error().detail);
    return;
  }
  this->handlers.submit(CallerToken(token), submission.Take());
}

void CallerInterface::HandleSubmissionPath(HttpServer& server,
                                           HttpToken token,
                                           const HttpRequest& request) {
  std::string_view id_text = request.path;
  id_text.remove_prefix(kSubmissionsPath.size());
  const bool is_cancel = EndsWith(id_text, kCancelSuffix);
  if (is_cancel)
    id_text.remove_suffix(kCancelSuffix.size());
  const SubmissionId id(DecodePercentEscapes(id_text));
  if (request.method != (is_cancel ? "POST" : "GET")) {
    ReplyRefused(server, token, ResultCode::kMethodNotAllowed, request.method);
    return;
  }
  if (is_cancel) {
    const Result<CustomerId> customer =
        ParseCustomer(request.body, this->limits);
    if (customer.ok())
      this->handlers.cancel(CallerToken(token), customer.value(), id);
    else
      ReplyRefused(server, token, customer.error().code,
                   customer.error().detail);
    return;
  }
  const std::map<std::string, std::string> query = ParseQuery(request.query);
  const auto customer = query.find("customer");
  const std::optional<Millis> wait = ParseWait(query);
  if (customer == query.end() || !wait) {
    ReplyRefused(server, token, ResultCode::kMalformedRequest,
                 "the query needs customer=NAME and may have wait_ms=0..60000");
    return;
  }
  this->handlers.status(CallerToken(token), CustomerId(customer->second), id,
                        *wait);
}

void CallerInterface::Answer(HttpServer& server, const AnswerCaller& action) {
  server.Reply(action.caller.value, RowOf(action.answer.code).http_status,
               FormatAnswer(action.answer, action.spare_id));
}

}  // namespace dogwoodfall
