#include "adapters/callers/caller_interface.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

namespace dogwoodfall {
namespace {

constexpr std::string_view kSubmissions = "/v1/submissions/";
constexpr std::string_view kCancel = "/cancel";
constexpr Millis kLongestPoll{60'000};

void Refuse(HttpServer& server,
            HttpToken token,
            ResultCode code,
            const std::string& detail) {
  server.Reply(token, RowOf(code).http_status, FormatRefusal(code, detail));
}

/** Replaces %XX by the byte it stands for. */
std::string Unescape(std::string_view text) {
  std::string plain;
  for (size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    if (text[i] == '%' && i + 2 < text.size()) {
      const char* digits = text.data() + i + 1;
      const auto [end, error] = std::from_chars(digits, digits + 2, byte, 16);
      if (error == std::errc() && end == digits + 2) {
        plain += static_cast<char>(byte);
        i += 2;
        continue;
      }
    }
    plain += text[i];
  }
  return plain;
}

std::map<std::string, std::string> ParseQuery(std::string_view query) {
  std::map<std::string, std::string> values;
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const size_t equals = pair.find('=');
    if (equals != std::string_view::npos)
      values[Unescape(pair.substr(0, equals))] =
          Unescape(pair.substr(equals + 1));
  }
  return values;
}

/** The wait_ms of a query; 0 when it is absent, nothing when it is wrong. */
std::optional<Millis> ReadWait(
    const std::map<std::string, std::string>& query) {
  const auto found = query.find("wait_ms");
  if (found == query.end())
    return Millis{};
  Millis wait;
  const std::string& text = found->second;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), wait.count);
  if (error != std::errc() || end != text.data() + text.size() ||
      wait < Millis{} || wait > kLongestPoll)
    return std::nullopt;
  return wait;
}

bool EndsWith(std::string_view text, std::string_view end) {
  return text.size() >= end.size() &&
         text.substr(text.size() - end.size()) == end;
}

}  // namespace

CallerInterface::CallerInterface(const CallerLimits& limits,
                                 CallerRequestHandlers events)
    : limits(limits), events(std::move(events)) {}

void CallerInterface::Handle(HttpServer& server,
                             HttpToken token,
                             const HttpRequest& request) {
  const std::string_view path = request.path;
  if (path.substr(0, kSubmissions.size()) == kSubmissions) {
    this->HandleSubmission(server, token, request);
    return;
  }
  const bool is_job = path == "/v1/jobs";
  if (!is_job && path != "/v1/requests" && path != "/v1/ids") {
    Refuse(server, token, ResultCode::kUnknownPath, request.path);
    return;
  }
  if (request.method != "POST") {
    Refuse(server, token, ResultCode::kMethodNotAllowed, request.method);
    return;
  }
  if (path == "/v1/ids") {
    constexpr int kStatusOk = 200;
    server.Reply(token, kStatusOk, FormatMintResponse(this->events.mint()));
    return;
  }
  Result<Submission> submission =
      is_job ? ParseJob(request.body, this->limits)
             : ParseRequest(request.body, this->limits);
  if (!submission.ok()) {
    Refuse(server, token, submission.error().code, submission.error().detail);
    return;
  }
  this->events.submit(CallerToken(token), submission.Take());
}

void CallerInterface::HandleSubmission(HttpServer& server,
                                       HttpToken token,
                                       const HttpRequest& request) {
  std::string_view rest = request.path;
  rest.remove_prefix(kSubmissions.size());
  const bool is_cancel = EndsWith(rest, kCancel);
  if (is_cancel)
    rest.remove_suffix(kCancel.size());
  const SubmissionId id(Unescape(rest));
  if (request.method != (is_cancel ? "POST" : "GET")) {
    Refuse(server, token, ResultCode::kMethodNotAllowed, request.method);
    return;
  }
  if (is_cancel) {
    const Result<CustomerId> customer =
        ParseCustomer(request.body, this->limits);
    if (customer.ok())
      this->events.cancel(CallerToken(token), customer.value(), id);
    else
      Refuse(server, token, customer.error().code, customer.error().detail);
    return;
  }
  const std::map<std::string, std::string> query = ParseQuery(request.query);
  const auto customer = query.find("customer");
  const std::optional<Millis> wait = ReadWait(query);
  if (customer == query.end() || !wait) {
    Refuse(server, token, ResultCode::kMalformedRequest,
           "customer=NAME and wait_ms=0..60000 are expected");
    return;
  }
  this->events.status(CallerToken(token), CustomerId(customer->second), id,
                      *wait);
}

void CallerInterface::Answer(HttpServer& server, const AnswerCaller& action) {
  server.Reply(action.caller.value, RowOf(action.answer.code).http_status,
               FormatAnswer(action.answer, action.spare_id));
}

}  // namespace dogwoodfall
