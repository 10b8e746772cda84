#include "adapters/http/http_server.h"

#include <evhtp.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cstring>
#include <tuple>
#include <utility>

#include "adapters/logging/logging.h"

namespace dogwoodfall {
namespace {

/** A body over the limit is read and discarded up to this multiple of the
 * limit, so that the caller gets an error response. Beyond it the connection is
 * closed.
 */
constexpr size_t kMaxBodyDiscardFactor = 8;
/** Memory of an open connection in libevhtp and libevent. */
constexpr size_t kConnectionBytes = 4'096;
/** Memory of a header line or query argument besides its text. */
constexpr size_t kPairBytes = 128;
/** libevhtp parses the query into pairs, of which the shortest takes two bytes
 * of the request line. It refuses longer parts of a head.
 */
constexpr size_t kMaxQueryBytes = 8'192;
constexpr size_t kQueryFactor = kPairBytes / 2;
/** libevhtp keeps a path as a whole, and as its folder and its file. */
constexpr size_t kPathCopies = 2;
/** Size of the buffer in which the parser of a connection collects a part of a
 * head.
 */
constexpr size_t kParserBufferBytes = 8'192;
/** Bytes that libevent reads from a connection at once. */
constexpr size_t kMaxReadBytes = 16'384;
/** Parts of a body below this size are copied behind the previous part. In
 * buffers of their own, parts of one byte would take hundreds of times their
 * size.
 */
constexpr size_t kCopiedPartBytes = 4'096;
/** Time without progress after which a connection counts as stalled when
 * memory runs short.
 */
constexpr Millis kStallTime{500};
/** Time after the end of a head in which the rate of its body isn't checked.
 * Longer than the 15 s for which the platform's callers may be idle.
 */
constexpr Millis kBodyGracePeriod{20'000};
/** Offset of times in rates, so that the first bytes don't count as fast. */
constexpr int64_t kRateOffsetMs = 100;
/** Period of the checks of time limits, and of the log lines on refusals. */
constexpr timeval kSweepPeriod = {1, 0};
constexpr int kListenBacklog = 1024;
constexpr int64_t kMillisPerSecond = 1000;
constexpr int64_t kMicrosPerMilli = 1000;

std::string CopyToString(evbuffer* buffer) {
  const size_t size = evbuffer_get_length(buffer);
  std::string text(size, '\0');
  evbuffer_copyout(buffer, text.data(), size);
  return text;
}

std::string StringOrEmpty(const char* text) {
  return text == nullptr ? std::string() : std::string(text);
}

std::string GetMethodName(evhtp_request_t* request) {
  switch (evhtp_request_get_method(request)) {
    case htp_method_GET:
      return "GET";
    case htp_method_POST:
      return "POST";
    case htp_method_PUT:
      return "PUT";
    case htp_method_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

/** Returns the time for which a request has waited in the socket's buffers. */
std::optional<Millis> GetRequestAge(evhtp_request_t* request) {
  const evhtp_connection_t* connection = evhtp_request_get_connection(request);
  tcp_info info = {};
  socklen_t length = sizeof(info);
  if (getsockopt(bufferevent_getfd(connection->bev), IPPROTO_TCP, TCP_INFO,
                 &info, &length) != 0)
    return std::nullopt;
  // Network stacks that do not keep the time report 0.
  if (info.tcpi_last_data_recv == 0)
    return std::nullopt;
  return Millis{info.tcpi_last_data_recv};
}

/** Part of the process's descriptors that the connections of one listener may
 * take.
 */
uint32_t GetMaxDescriptors() {
  rlimit limit = {};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur / 2 > UINT32_MAX)
    return UINT32_MAX;
  return static_cast<uint32_t>(limit.rlim_cur / 2);
}

/** Counts the empty lines from a position to the first byte of a request.
 *
 * @return true when a request has begun
 */
bool CountEmptyLines(evbuffer* input, size_t position, uint32_t& lines) {
  constexpr int kMaxParts = 64;
  std::array<evbuffer_iovec, kMaxParts> parts = {};
  evbuffer_ptr start = {};
  if (evbuffer_ptr_set(input, &start, position, EVBUFFER_PTR_SET) != 0)
    return false;
  const int count = evbuffer_peek(input, -1, &start, parts.data(), kMaxParts);
  for (int i = 0; i < std::min(count, kMaxParts); ++i) {
    const char* text = static_cast<const char*>(parts[i].iov_base);
    for (size_t k = 0; k < parts[i].iov_len; ++k) {
      if (text[k] != '\r' && text[k] != '\n')
        return true;
      lines += text[k] == '\n' ? 1 : 0;
    }
  }
  return false;
}

bool HasQueryMark(evbuffer* input) {
  return evbuffer_search(input, "?", 1, nullptr).pos >= 0;
}

/** Returns the bytes to charge for a head that has not ended. */
size_t GetHeadCharge(const HttpConnectionState& state) {
  size_t bytes = state.head_bytes + state.kept_head_bytes;
  if (state.may_have_query)
    bytes += kQueryFactor * std::min(state.head_bytes, kMaxQueryBytes);
  return bytes;
}

/** Frees a header line that the parser does not need any more. */
void FreeUnusedHeader(evhtp_request_t* request, HttpConnectionState& state) {
  if (state.unused_header != nullptr)
    evhtp_header_rm_and_free(request->headers_in, state.unused_header);
  state.unused_header = nullptr;
}

void AddHeader(evhtp_request_t* request, const char* key, const char* value) {
  evhtp_headers_add_header(request->headers_out,
                           evhtp_header_new(key, value, 1, 1));
}

template <typename Function>
evhtp_hook AsHook(Function function) {
  // evhtp casts each hook back to the function type of its kind.
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

}  // namespace

HttpServer::HttpServer(const HttpServerLimits& limits,
                       Handler handler,
                       ErrorBody error_body)
    : limits(limits),
      handler(std::move(handler)),
      error_body(std::move(error_body)) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    event_base* base,
    const std::string& ip,
    uint16_t port,
    const HttpServerLimits& limits,
    Handler handler,
    ErrorBody error_body) {
  std::unique_ptr<HttpServer> created(
      new HttpServer(limits, std::move(handler), std::move(error_body)));
  created->server = evhtp_new(base, nullptr);
  HttpServer* self = created.get();
  evhtp_set_gencb(self->server, &HttpServer::OnRequest, self);
  evhtp_set_pre_accept_cb(self->server, &HttpServer::OnPreAccept, self);
  evhtp_set_post_accept_cb(self->server, &HttpServer::OnPostAccept, self);
  const timeval timeout = {
      limits.read_timeout_ms / kMillisPerSecond,
      (limits.read_timeout_ms % kMillisPerSecond) * kMicrosPerMilli};
  evhtp_set_timeouts(self->server, &timeout, &timeout);
  self->sweep_timer =
      event_new(base, -1, EV_PERSIST, &HttpServer::OnSweepTimer, self);
  event_add(self->sweep_timer, &kSweepPeriod);
  self->close_event = event_new(base, -1, 0, &HttpServer::OnCloseEvent, self);
  if (evhtp_bind_socket(self->server, ip.c_str(), port, kListenBacklog) < 0) {
    return Error{ResultCode::kConnectionFailed,
                 "can't listen on " + ip + ":" + std::to_string(port)};
  }
  return created;
}

HttpServer::~HttpServer() {
  // Hooks of the connections refer to the server.
  this->limits.on_caller_disconnected = nullptr;
  while (!this->states.empty())
    evhtp_connection_free(this->states.begin()->first);
  if (this->sweep_timer != nullptr)
    event_free(this->sweep_timer);
  if (this->close_event != nullptr)
    event_free(this->close_event);
  if (this->server == nullptr)
    return;
  evhtp_unbind_socket(this->server);
  evhtp_free(this->server);
}

void HttpServer::Reply(HttpToken token, int status, const std::string& body) {
  this->ReplyAs(token, status, body, "application/json");
}

void HttpServer::ReplyAs(HttpToken token,
                         int status,
                         const std::string& body,
                         const char* content_type,
                         const HttpHeaders& headers) {
  const auto found = this->open_requests.find(token);
  if (found == this->open_requests.end())
    return;
  evhtp_request_t* request = found->second;
  this->tokens.erase(request);
  this->open_requests.erase(found);
  AddHeader(request, "Content-Type", content_type);
  if (this->closes_connections_after_reply)
    evhtp_request_set_keepalive(request, 0);
  for (const auto& [name, value] : headers)
    AddHeader(request, name.c_str(), value.c_str());
  evbuffer_add(request->buffer_out, body.data(), body.size());
  this->FinishRequest(request->conn);
  evhtp_send_reply(request, static_cast<evhtp_res>(status));
  if (token != this->handled_token && !this->limits.on_caller_disconnected)
    evhtp_request_resume(request);
}

uint16_t HttpServer::OnPreAccept(evhtp_connection_t*, void* argument) {
  auto* self = static_cast<HttpServer*>(argument);
  if (self->connections <
      std::min(2 * self->limits.max_connections, GetMaxDescriptors()))
    return EVHTP_RES_OK;
  ++self->refusals[static_cast<size_t>(HttpRefusal::kTooManyConnections)];
  return EVHTP_RES_ERROR;
}

uint16_t HttpServer::OnPostAccept(evhtp_connection_t* connection,
                                  void* argument) {
  auto* self = static_cast<HttpServer*>(argument);
  ++self->connections;
  auto created = std::make_unique<HttpConnectionState>();
  HttpConnectionState* state = created.get();
  state->server = self;
  state->connection = connection;
  state->progressed = self->clock.Now();
  self->states[connection] = std::move(created);
  const auto set_hook = [connection, state](evhtp_hook_type type,
                                            evhtp_hook hook) {
    evhtp_connection_set_hook(connection, type, hook, state);
  };
  set_hook(evhtp_hook_on_connection_fini, AsHook(&HttpServer::OnConnectionEnd));
  set_hook(evhtp_hook_on_path, AsHook(&HttpServer::OnPath));
  set_hook(evhtp_hook_on_headers_start, AsHook(&HttpServer::OnHeadersStart));
  set_hook(evhtp_hook_on_header, AsHook(&HttpServer::OnHeader));
  set_hook(evhtp_hook_on_headers, AsHook(&HttpServer::OnHeaders));
  set_hook(evhtp_hook_on_read, AsHook(&HttpServer::OnRead));
  state->input_watch = evbuffer_add_cb(bufferevent_get_input(connection->bev),
                                       &HttpServer::OnInput, state);
  state->output_watch = evbuffer_add_cb(bufferevent_get_output(connection->bev),
                                        &HttpServer::OnOutput, state);
  return EVHTP_RES_OK;
}

uint16_t HttpServer::OnConnectionEnd(evhtp_connection_t* connection,
                                     void* argument) {
  auto* state = static_cast<HttpConnectionState*>(argument);
  HttpServer* self = state->server;
  --self->connections;
  self->SetCharge(*state, 0);
  self->input_bytes -= state->input_bytes;
  self->output_bytes -= state->output_bytes;
  self->parser_bytes -= state->parser_bytes;
  if (connection->bev != nullptr) {
    evbuffer_remove_cb_entry(bufferevent_get_input(connection->bev),
                             state->input_watch);
    evbuffer_remove_cb_entry(bufferevent_get_output(connection->bev),
                             state->output_watch);
  }
  auto& closing = self->closing;
  closing.erase(std::remove(closing.begin(), closing.end(), connection),
                closing.end());
  self->states.erase(connection);
  return EVHTP_RES_OK;
}

void HttpServer::OnInput(evbuffer* input,
                         const evbuffer_cb_info* info,
                         void* argument) {
  auto* state = static_cast<HttpConnectionState*>(argument);
  HttpServer* self = state->server;
  state->input_bytes += info->n_added;
  self->input_bytes += info->n_added;
  state->input_bytes -= info->n_deleted;
  self->input_bytes -= info->n_deleted;
  if (info->n_added > 0 && !state->is_closing)
    self->HandleInput(*state, input, *info);
}

void HttpServer::OnOutput(evbuffer*,
                          const evbuffer_cb_info* info,
                          void* argument) {
  auto* state = static_cast<HttpConnectionState*>(argument);
  HttpServer* self = state->server;
  state->output_bytes += info->n_added;
  self->output_bytes += info->n_added;
  state->output_bytes -= info->n_deleted;
  self->output_bytes -= info->n_deleted;
  if (info->n_deleted > 0)
    state->progressed = self->clock.Now();
}

void HttpServer::HandleInput(HttpConnectionState& state,
                             evbuffer* input,
                             const evbuffer_cb_info& info) {
  state.progressed = this->clock.Now();
  // libevhtp parses a request only when the response to the previous one has
  // been sent, but reads on.
  if (state.phase != HttpConnectionPhase::kPassedOn &&
      state.input_bytes > this->limits.max_head_bytes + kMaxReadBytes) {
    this->Refuse(state, HttpRefusal::kTooManyRequestsAhead);
    return;
  }
  if (state.phase == HttpConnectionPhase::kIdle) {
    const bool has_begun =
        CountEmptyLines(input, info.orig_size, state.empty_lines);
    if (state.empty_lines > this->limits.max_empty_lines) {
      this->Refuse(state, HttpRefusal::kTooManyEmptyLines);
      return;
    }
    if (!has_begun)
      return;
    this->BeginHead(state);
  }
  if (state.phase != HttpConnectionPhase::kHead)
    return;
  // What was received before has been parsed, and did not end the head. The
  // bytes received now may end it and begin a body.
  if (state.head_bytes > this->limits.max_head_bytes) {
    this->Refuse(state, HttpRefusal::kHeadTooLarge);
    return;
  }
  state.head_bytes += info.n_added;
  state.may_have_query =
      !state.has_request_line && (state.may_have_query || HasQueryMark(input));
  this->SetCharge(state, GetHeadCharge(state));
  this->EnforceMemoryLimit(&state);
}

void HttpServer::BeginHead(HttpConnectionState& state) {
  state.phase = HttpConnectionPhase::kHead;
  state.phase_began = this->clock.Now();
}

uint16_t HttpServer::OnPath(evhtp_request_t*, evhtp_path_t*, void* argument) {
  auto& state = *static_cast<HttpConnectionState*>(argument);
  // libevhtp closes a connection that sends a second request meanwhile.
  if (state.phase == HttpConnectionPhase::kPassedOn)
    return EVHTP_RES_OK;
  HttpServer* self = state.server;
  // A request that arrived together with the end of the previous one.
  if (state.phase == HttpConnectionPhase::kIdle)
    self->BeginHead(state);
  // A query comes next. Its parsed form is charged until it is freed.
  state.may_have_query =
      state.may_have_query ||
      HasQueryMark(bufferevent_get_input(state.connection->bev));
  self->SetCharge(state, GetHeadCharge(state));
  self->EnforceMemoryLimit(&state);
  return state.is_closing ? EVHTP_RES_ERROR : EVHTP_RES_OK;
}

uint16_t HttpServer::OnHeadersStart(evhtp_request_t* request, void* argument) {
  auto& state = *static_cast<HttpConnectionState*>(argument);
  if (state.phase == HttpConnectionPhase::kPassedOn)
    return EVHTP_RES_OK;
  // Only the query's text is read.
  if (request->uri != nullptr && request->uri->query != nullptr) {
    evhtp_query_free(request->uri->query);
    request->uri->query = evhtp_query_new();
  }
  if (request->uri != nullptr) {
    const auto* query = reinterpret_cast<const char*>(request->uri->query_raw);
    const size_t query_bytes = query == nullptr ? 0 : strlen(query);
    const evhtp_path_t* path = request->uri->path;
    const size_t path_bytes =
        path == nullptr || path->full == nullptr ? 0 : strlen(path->full);
    state.kept_head_bytes = kPathCopies * path_bytes + query_bytes;
    state.server->ChargeParser(state, std::max(path_bytes, query_bytes));
  }
  state.has_request_line = true;
  state.may_have_query = false;
  state.server->SetCharge(state, GetHeadCharge(state));
  return EVHTP_RES_OK;
}

bool HttpServer::IsKept(const evhtp_request_t* request,
                        const evhtp_header_t& header) const {
  const auto is_named = [&header](const std::string& name) {
    return strncasecmp(header.key, name.c_str(), header.klen) == 0 &&
           name.size() == header.klen;
  };
  const auto& captured = this->limits.captured_headers;
  // libevhtp reads Expect. It would also parse a body with the content type of
  // a form into pairs, so the content type is not kept.
  if (!is_named("expect") &&
      std::none_of(captured.begin(), captured.end(), is_named))
    return false;
  const evhtp_header_t* first =
      evhtp_headers_find_header(request->headers_in, header.key);
  return first == nullptr || first == &header;
}

uint16_t HttpServer::OnHeader(evhtp_request_t* request,
                              evhtp_header_t* header,
                              void* argument) {
  auto& state = *static_cast<HttpConnectionState*>(argument);
  if (state.phase == HttpConnectionPhase::kPassedOn)
    return EVHTP_RES_OK;
  HttpServer* self = state.server;
  FreeUnusedHeader(request, state);
  constexpr size_t kSeparatorBytes = 4;
  ++state.header_lines;
  state.header_line_bytes += header->klen + header->vlen + kSeparatorBytes;
  if (state.header_lines > self->limits.max_header_lines)
    self->Refuse(state, HttpRefusal::kTooManyHeaderLines);
  else if (state.header_line_bytes > self->limits.max_head_bytes)
    self->Refuse(state, HttpRefusal::kHeadTooLarge);
  if (state.is_closing)
    return EVHTP_RES_ERROR;
  self->ChargeParser(state, std::max(header->klen, header->vlen));
  if (self->IsKept(request, *header))
    state.kept_head_bytes += header->klen + header->vlen + kPairBytes;
  else
    state.unused_header = header;
  return EVHTP_RES_OK;
}

uint16_t HttpServer::OnHeaders(evhtp_request_t* request,
                               evhtp_headers_t*,
                               void* argument) {
  auto& state = *static_cast<HttpConnectionState*>(argument);
  if (state.phase == HttpConnectionPhase::kPassedOn)
    return EVHTP_RES_OK;
  FreeUnusedHeader(request, state);
  if (state.is_closing)
    return EVHTP_RES_ERROR;
  state.phase = HttpConnectionPhase::kBody;
  state.phase_began = state.server->clock.Now();
  state.head_bytes = 0;
  state.server->SetCharge(state, state.kept_head_bytes);
  return EVHTP_RES_OK;
}

uint16_t HttpServer::OnRead(evhtp_request_t* request,
                            evbuffer* data,
                            void* argument) {
  auto& state = *static_cast<HttpConnectionState*>(argument);
  HttpServer* self = state.server;
  if (state.is_closing)
    return EVHTP_RES_ERROR;
  const size_t size = evbuffer_get_length(data);
  const size_t received = evbuffer_get_length(request->buffer_in);
  state.body_bytes += size;
  const auto known = self->oversized_requests.find(request);
  if (known == self->oversized_requests.end() &&
      received + size <= self->limits.max_body_bytes) {
    self->SetCharge(state, state.charged_bytes + size);
    self->EnforceMemoryLimit(&state);
    if (state.is_closing)
      return EVHTP_RES_ERROR;
    if (received > 0 && size < kCopiedPartBytes) {
      evbuffer_add(request->buffer_in, evbuffer_pullup(data, -1), size);
      evbuffer_drain(data, size);
    }
    return EVHTP_RES_OK;
  }
  if (known == self->oversized_requests.end()) {
    evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                           AsHook(&HttpServer::OnRequestEnd), self);
    // The part that was received is not used.
    evbuffer_drain(request->buffer_in, received);
    self->SetCharge(state, 0);
  }
  size_t& discarded = self->oversized_requests[request];
  discarded += size;
  evbuffer_drain(data, size);
  if (discarded <= kMaxBodyDiscardFactor * self->limits.max_body_bytes)
    return EVHTP_RES_OK;
  self->Refuse(state, HttpRefusal::kBodyTooLarge);
  return EVHTP_RES_ERROR;
}

uint16_t HttpServer::OnRequestEnd(evhtp_request_t* request, void* argument) {
  auto* self = static_cast<HttpServer*>(argument);
  self->oversized_requests.erase(request);
  const auto found = self->tokens.find(request);
  if (found != self->tokens.end()) {
    const HttpToken token = found->second;
    self->open_requests.erase(token);
    self->tokens.erase(found);
    if (self->limits.on_caller_disconnected)
      self->limits.on_caller_disconnected(token);
  }
  return EVHTP_RES_OK;
}

void HttpServer::OnRequest(evhtp_request_t* request, void* argument) {
  static_cast<HttpServer*>(argument)->HandleRequest(request);
}

void HttpServer::HandleRequest(evhtp_request_t* request) {
  HttpConnectionState& state = *this->states.at(request->conn);
  // A client that sends requests and doesn't read the responses.
  if (this->limits.max_held_bytes > 0 &&
      state.output_bytes > this->limits.max_held_bytes / 4)
    this->Refuse(state, HttpRefusal::kOutputNotRead);
  if (state.is_closing)
    return;
  if (this->connections > this->limits.max_connections) {
    ++this->refusals[static_cast<size_t>(HttpRefusal::kTooManyConnections)];
    this->ReplyError(request, ResultCode::kTooManyConnections);
    return;
  }
  if (this->oversized_requests.count(request) > 0) {
    ++this->refusals[static_cast<size_t>(HttpRefusal::kBodyTooLarge)];
    this->ReplyError(request, ResultCode::kBodyTooLarge);
    return;
  }
  HttpRequest parsed;
  parsed.age = GetRequestAge(request);
  parsed.method = GetMethodName(request);
  if (request->uri != nullptr && request->uri->path != nullptr)
    parsed.path = StringOrEmpty(request->uri->path->full);
  if (request->uri != nullptr) {
    parsed.query =
        StringOrEmpty(reinterpret_cast<const char*>(request->uri->query_raw));
  }
  for (const std::string& name : this->limits.captured_headers) {
    const char* value = evhtp_header_find(request->headers_in, name.c_str());
    if (value != nullptr)
      parsed.headers[name] = value;
  }
  parsed.body = CopyToString(request->buffer_in);
  evbuffer_drain(request->buffer_in, parsed.body.size());
  state.phase = HttpConnectionPhase::kPassedOn;
  const HttpToken token = ++this->last_token;
  this->open_requests[token] = request;
  this->tokens[request] = token;
  evhtp_request_set_hook(request, evhtp_hook_on_request_fini,
                         AsHook(&HttpServer::OnRequestEnd), this);
  this->handled_token = token;
  this->handler(token, std::move(parsed));
  this->handled_token = 0;
  if (this->open_requests.count(token) > 0 &&
      !this->limits.on_caller_disconnected)
    evhtp_request_pause(request);
}

void HttpServer::ReplyError(evhtp_request_t* request, ResultCode code) {
  const std::string body = this->error_body(code);
  AddHeader(request, "Content-Type", "application/json");
  evhtp_request_set_keepalive(request, 0);
  evbuffer_add(request->buffer_out, body.data(), body.size());
  this->FinishRequest(request->conn);
  evhtp_send_reply(request, static_cast<evhtp_res>(RowOf(code).http_status));
}

void HttpServer::FinishRequest(evhtp_connection_t* connection) {
  const auto found = this->states.find(connection);
  if (found == this->states.end())
    return;
  HttpConnectionState& state = *found->second;
  state.phase = HttpConnectionPhase::kIdle;
  state.head_bytes = 0;
  state.header_line_bytes = 0;
  state.header_lines = 0;
  state.kept_head_bytes = 0;
  state.has_request_line = false;
  state.may_have_query = false;
  state.empty_lines = 0;
  state.body_bytes = 0;
  state.unused_header = nullptr;
  this->SetCharge(state, 0);
}

size_t HttpServer::HeldBytes() const {
  return this->charged_bytes + this->input_bytes + this->output_bytes +
         this->parser_bytes + this->states.size() * kConnectionBytes;
}

void HttpServer::ChargeParser(HttpConnectionState& state, size_t token_bytes) {
  const size_t used = std::min(token_bytes, kParserBufferBytes);
  if (used <= state.parser_bytes)
    return;
  this->parser_bytes += used - state.parser_bytes;
  state.parser_bytes = used;
}

void HttpServer::SetCharge(HttpConnectionState& state, size_t bytes) {
  this->charged_bytes += bytes;
  this->charged_bytes -= state.charged_bytes;
  state.charged_bytes = bytes;
}

HttpConnectionState* HttpServer::FindConnectionToClose(
    const HttpConnectionState* current) const {
  enum class Rank : uint8_t {
    kClosing,
    kStalledRequest,
    kIdle,
    kSlowRequest,
    kOutputNotRead,
  };
  // Within a rank, the lowest number goes first: the negative time without
  // progress, or the rate in bytes per ms.
  using Order = std::tuple<Rank, int64_t>;
  const Millis now = this->clock.Now();
  HttpConnectionState* found = nullptr;
  Order lowest;
  for (const auto& [connection, state] : this->states) {
    if (state.get() == current ||
        state->phase == HttpConnectionPhase::kPassedOn)
      continue;
    const Millis stalled = now - state->progressed;
    Order order = {Rank::kClosing, 0};
    if (state->is_closing) {
    } else if (state->phase == HttpConnectionPhase::kIdle) {
      if (stalled < kStallTime)
        continue;
      order = {state->output_bytes > 0 ? Rank::kOutputNotRead : Rank::kIdle,
               -stalled.count};
    } else if (stalled >= kStallTime) {
      order = {Rank::kStalledRequest, -stalled.count};
    } else {
      const auto bytes =
          static_cast<int64_t>(state->head_bytes + state->body_bytes);
      order = {Rank::kSlowRequest,
               bytes / ((now - state->phase_began).count + kRateOffsetMs)};
    }
    if (found == nullptr || order < lowest) {
      found = state.get();
      lowest = order;
    }
  }
  return found;
}

void HttpServer::EnforceMemoryLimit(HttpConnectionState* current) {
  const size_t max = this->limits.max_held_bytes;
  while (max > 0 && this->HeldBytes() > max) {
    HttpConnectionState* slowest = this->FindConnectionToClose(current);
    if (slowest == nullptr) {
      if (current != nullptr)
        this->Refuse(*current, HttpRefusal::kMemoryFull);
      return;
    }
    if (!slowest->is_closing)
      ++this->refusals[static_cast<size_t>(HttpRefusal::kMemoryFull)];
    evhtp_connection_free(slowest->connection);
  }
}

void HttpServer::Refuse(HttpConnectionState& state, HttpRefusal refusal) {
  if (state.is_closing)
    return;
  ++this->refusals[static_cast<size_t>(refusal)];
  state.is_closing = true;
  bufferevent_disable(state.connection->bev, EV_READ);
  this->closing.push_back(state.connection);
  event_active(this->close_event, EV_TIMEOUT, 0);
}

void HttpServer::OnCloseEvent(int, short, void* argument) {
  auto* self = static_cast<HttpServer*>(argument);
  // The end of a connection removes it from the list.
  while (!self->closing.empty())
    evhtp_connection_free(self->closing.back());
}

void HttpServer::OnSweepTimer(int, short, void* argument) {
  auto* self = static_cast<HttpServer*>(argument);
  self->Sweep();
  self->EnforceMemoryLimit(nullptr);
  self->LogRefusals();
}

void HttpServer::Sweep() {
  const Millis now = this->clock.Now();
  for (const auto& [connection, state] : this->states) {
    const int64_t elapsed_ms = (now - state->phase_began).count;
    if (state->phase == HttpConnectionPhase::kHead &&
        elapsed_ms > this->limits.head_timeout_ms)
      this->Refuse(*state, HttpRefusal::kHeadTooSlow);
    const int64_t checked_ms = elapsed_ms - kBodyGracePeriod.count;
    if (state->phase == HttpConnectionPhase::kBody && checked_ms > 0 &&
        static_cast<int64_t>(state->body_bytes) * kMillisPerSecond <
            this->limits.min_body_rate * checked_ms)
      this->Refuse(*state, HttpRefusal::kBodyTooSlow);
  }
}

void HttpServer::LogRefusals() {
  for (size_t i = 0; i < kHttpRefusalCount; ++i) {
    const uint64_t count = this->refusals[i] - this->logged_refusals[i];
    if (count == 0)
      continue;
    WriteLog({"client_refused",
              {{"listener", this->limits.name},
               {"cause", NameOf(static_cast<HttpRefusal>(i))},
               {"count", std::to_string(count)},
               {"connections", std::to_string(this->connections)},
               {"held_bytes", std::to_string(this->HeldBytes())}}});
  }
  this->logged_refusals = this->refusals;
}

}  // namespace dogwoodfall
