#ifndef DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CONNECTION_STATE_H_
#define DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CONNECTION_STATE_H_

#include <cstddef>
#include <cstdint>

#include "base/millis.h"

struct evbuffer_cb_entry;
struct evhtp_connection;
struct evhtp_kv;

namespace dogwoodfall {

class HttpServer;

/** What a connection of a listener is doing. */
enum class HttpConnectionPhase : uint8_t {
  /** No byte of a request has arrived, apart from empty lines. */
  kIdle = 0,
  kHead = 1,
  kBody = 2,
  /** The request was passed on to its handler and is not answered yet. */
  kPassedOn = 3,
};

/** A connection of a listener, and what it holds in memory. */
struct HttpConnectionState {
  HttpServer* server = nullptr;
  evhtp_connection* connection = nullptr;
  HttpConnectionPhase phase = HttpConnectionPhase::kIdle;
  /** Since the last request: the first byte of the head, or its end. */
  Millis phase_began;
  /** When bytes were last received or sent. */
  Millis progressed;
  /** Bytes received of the current head, with the empty lines before it. */
  size_t head_bytes = 0;
  /** Bytes of the header lines parsed so far. */
  size_t header_line_bytes = 0;
  uint32_t header_lines = 0;
  /** Bytes of the request line and of the header lines that are kept. */
  size_t kept_head_bytes = 0;
  uint32_t empty_lines = 0;
  /** True when the request line has been parsed. */
  bool has_request_line = false;
  /** True while the parser may hold a query in parsed form. */
  bool may_have_query = false;
  /** Bytes received of the current body. */
  size_t body_bytes = 0;
  /** Bytes charged for the head and the body of the current request. */
  size_t charged_bytes = 0;
  /** Bytes of the parser's buffer that have been used; it keeps them until the
   * connection is closed.
   */
  size_t parser_bytes = 0;
  /** Bytes that were received and have not been parsed. */
  size_t input_bytes = 0;
  /** Bytes of responses that have not been sent. */
  size_t output_bytes = 0;
  /** Header line that is not kept, freed when the parser has moved on. */
  evhtp_kv* unused_header = nullptr;
  /** True once the connection waits to be closed from the event loop. */
  bool is_closing = false;
  evbuffer_cb_entry* input_watch = nullptr;
  evbuffer_cb_entry* output_watch = nullptr;
};

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_HTTP_HTTP_CONNECTION_STATE_H_
