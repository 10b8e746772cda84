#ifndef DOGWOODFALL_MODULES_ADAPTERS_STORE_STORE_MESSAGES_H_
#define DOGWOODFALL_MODULES_ADAPTERS_STORE_STORE_MESSAGES_H_

#include <string>

#include "base/result.h"
#include "ports/store_call.h"

namespace dogwoodfall {

/** Returns the gateway's HTTP path for a request. */
std::string MakeGatewayPath(const StoreRequest& request);

/** Formats the JSON body of a request to the gateway. */
std::string MakeGatewayBody(const StoreRequest& request);

/** Parses the body of the gateway's response to a request.
 *
 * @return the outcome kUnknown for anything that can't be parsed
 */
StoreReply ParseGatewayReply(const StoreRequest& request,
                             const std::string& body);

/** Encodes bytes as base64. */
std::string ToBase64(const std::string& bytes);

/** Decodes base64. Returns an empty string for invalid input. */
std::string FromBase64(const std::string& text);

/** Returns the first key after all keys with a prefix, as range_end of a range
 * request.
 *
 * @param prefix not empty
 */
std::string PrefixEnd(std::string prefix);

}  // namespace dogwoodfall

#endif  // DOGWOODFALL_MODULES_ADAPTERS_STORE_STORE_MESSAGES_H_
