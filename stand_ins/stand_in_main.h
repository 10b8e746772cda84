#ifndef DOGWOODFALL_STAND_INS_STAND_IN_MAIN_H_
#define DOGWOODFALL_STAND_INS_STAND_IN_MAIN_H_

#include <event2/event.h>

#include <cstdint>
#include <memory>
#include <string>

#include "adapters/http/http_server.h"

namespace dogwoodfall {

/** Address that all stand-ins listen on. */
inline constexpr const char* kLoopback = "127.0.0.1";

/** Returns the value of --NAME on the command line, or the fallback. */
std::string GetOption(int argc,
                      char** argv,
                      const std::string& name,
                      const std::string& fallback);

/** Returns the number given as --NAME, or the fallback. */
int64_t GetNumberOption(int argc,
                        char** argv,
                        const std::string& name,
                        int64_t fallback);

/** Listens on a port of the loopback address. Exits the process when the port
 * can't be bound.
 */
std::unique_ptr<HttpServer> ListenOrExit(event_base* base,
                                         uint16_t port,
                                         HttpServer::Handler handler);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_STAND_INS_STAND_IN_MAIN_H_
