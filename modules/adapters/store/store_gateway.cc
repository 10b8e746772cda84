#include "adapters/store/store_gateway.h"

#include <utility>

#include "adapters/store/store_messages.h"

namespace dogwoodfall {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

StoreGateway::StoreGateway(HttpClient& http,
                           HttpAddress address,
                           Millis timeout)
    : http(http), address(std::move(address)), timeout(timeout) {}

void StoreGateway::Call(StorePurpose purpose,
                        const StoreRequest& request,
                        Callback callback) {
  ++this->calls[purpose];
  this->http.Send(this->address, "POST", MakeGatewayPath(request),
                  MakeGatewayBody(request), this->timeout,
                  [this, request, callback = std::move(callback)](
                      const HttpResponse& response) {
                    StoreReply reply;
                    if (response.outcome == HttpOutcome::kAnswered &&
                        response.status == kStatusOk)
                      reply = ParseGatewayReply(request, response.body);
                    if (reply.outcome == StoreOutcome::kUnknown)
                      ++this->unanswered;
                    callback(reply);
                  });
}

}  // namespace dogwoodfall
