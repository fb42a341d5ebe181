/// HTTP adapter to stores.
#include "edge/store.h"
#include "edge/store_codec.h"

#include <tbb/concurrent_hash_map.h>

#include <utility>

namespace daisytack::edge {

namespace {

class HttpStores : public std::enable_shared_from_this<HttpStores> {
public:
  HttpStores(net::HttpClient &client, std::vector<Endpoint> addresses,
             InputSink sink)
      : Client(client), Addresses(std::move(addresses)), Sink(std::move(sink)) {
  }

  void call(const serve::CallStore &call) {
    if (call.Store.Index >= Addresses.size())
      return Sink(serve::StoreAnswer{
          call.Call, call.Store, Error{ErrorKind::NotFound, "no such store"}});
    {
      Table::accessor slot;
      Calls.insert(slot, call.Call);
    }
    net::HttpCall running = Client.fetch(
        Addresses[call.Store.Index], storeRequest(call.Request), call.Timeout,
        [self = shared_from_this(), call](const Error &error,
                                          net::HttpResponse response) {
          self->Calls.erase(call.Call);
          self->Sink(serve::StoreAnswer{
              call.Call, call.Store,
              error ? serve::StoreResult(error)
                    : storeResult(call.Request, std::move(response))});
        });
    Table::accessor slot;
    if (Calls.find(slot, call.Call))
      slot->second = running;
  }

  void stop(const serve::CancelStoreCall &stop) {
    net::HttpCall running;
    {
      Table::accessor slot;
      if (!Calls.find(slot, stop.Call))
        return;
      running = slot->second;
    }
    running.cancel();
  }

private:
  using Table = tbb::concurrent_hash_map<serve::CallId, net::HttpCall>;

  net::HttpClient &Client;
  std::vector<Endpoint> Addresses;
  InputSink Sink;
  Table Calls;
};

} // namespace

Stores makeHttpStores(net::HttpClient &client, std::vector<Endpoint> addresses,
                      InputSink sink) {
  auto self = std::make_shared<HttpStores>(client, std::move(addresses),
                                           std::move(sink));
  return {[self](const serve::CallStore &call) { self->call(call); },
          [self](const serve::CancelStoreCall &stop) { self->stop(stop); }};
}

} // namespace daisytack::edge
