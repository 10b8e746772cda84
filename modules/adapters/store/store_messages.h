#ifndef DOGWOODFALL_MODULES_ADAPTERS_STORE_STORE_MESSAGES_H_
#define DOGWOODFALL_MODULES_ADAPTERS_STORE_STORE_MESSAGES_H_

#include <string>

#include "base/result.h"
#include "ports/store_call.h"

namespace dogwoodfall {

/** Path of a request at the gateway. */
std::string MakeGatewayPath(const StoreRequest& request);

/** Body of a request at the gateway. */
std::string MakeGatewayBody(const StoreRequest& request);

/** Reads the gateway's answer to a request; kUnknown for anything unclear. */
StoreReply ParseGatewayReply(const StoreRequest& request,
                             const std::string& body);

/** Base64 of bytes. */
std::string ToBase64(const std::string& bytes);

/** The bytes of base64; empty for anything else. */
std::string FromBase64(const std::string& text);

/** The first key behind all keys with a prefix. */
std::string PrefixEnd(std::string prefix);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_STORE_STORE_MESSAGES_H_
