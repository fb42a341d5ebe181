/// Load generator for scripts/bench-loopback: sends completion requests over
/// loopback and prints the results as one JSON object.
///
/// Modes: latency (requests at a constant rate), throughput (a fixed number of
/// concurrent requests), streams (many concurrent slow streams), idle (open
/// connections without requests). The text of every answer is checked.
#include "base/clock.h"
#include "base/digest.h"
#include "net/http_client.h"
#include "net/sse.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <atomic>
#include <fstream>
#include <future>
#include <iostream>
#include <mutex>
#include <thread>

DEFINE_string(mode, "latency", "latency, throughput, streams or idle");
DEFINE_string(target, "", "ADDRESS:PORT to call");
DEFINE_string(key, "", "bearer key");
DEFINE_string(model, "m", "model to name");
DEFINE_uint64(threads, 2, "I/O threads");
DEFINE_uint64(requests, 5000, "requests in all");
DEFINE_double(rate, 500, "requests a second (latency)");
DEFINE_uint64(at_once, 64,
              "requests at a time (throughput), streams, or idle connections");
DEFINE_uint64(tokens, 4, "tokens to ask for");
DEFINE_uint64(pid, 0, "process whose memory is read");

namespace daisytack {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

std::string makePrompt(uint64_t n) { return "prompt " + std::to_string(n); }

std::string expectedText(const std::string &prompt) {
  std::string word = hexDigest(sha256(prompt)).substr(0, 8);
  std::string out;
  for (uint64_t i = 0; i < FLAGS_tokens; ++i)
    out += word + "." + std::to_string(i) + " ";
  return out;
}

net::HttpRequest makeRequest(const std::string &prompt, bool stream) {
  json::object body{{"model", FLAGS_model},
                    {"prompt", prompt},
                    {"max_tokens", FLAGS_tokens},
                    {"stream", stream}};
  return {"POST",
          "/v1/completions",
          "",
          {{"Content-Type", "application/json"},
           {"Authorization", "Bearer " + FLAGS_key}},
          json::serialize(body)};
}

/// Reads a field of /proc/PID/status, in KiB; 0 if it is missing.
uint64_t processMemoryKib(const std::string &field) {
  std::ifstream file("/proc/" + std::to_string(FLAGS_pid) + "/status");
  for (std::string line; std::getline(file, line);)
    if (line.starts_with(field + ":"))
      return std::stoull(line.substr(field.size() + 1));
  return 0;
}

std::string textOf(const json::value &answer) {
  boost::system::error_code ec;
  const json::value *text = answer.find_pointer("/choices/0/text", ec);
  return text && text->is_string() ? std::string(text->get_string()) : "";
}

/// Counters and latencies of all modes. Thread-safe.
struct Totals {
  std::atomic<uint64_t> Good{0};
  std::atomic<uint64_t> Failed{0};
  /// Complete answers with a text other than the expected one.
  std::atomic<uint64_t> WrongText{0};
  std::mutex Mutex;
  std::vector<double> LatenciesMicros;
  std::string FirstFailure;

  void fail(const std::string &reason) {
    ++Failed;
    std::lock_guard guard(Mutex);
    if (FirstFailure.empty())
      FirstFailure = reason;
  }
  double quantile(double q) {
    std::lock_guard guard(Mutex);
    if (LatenciesMicros.empty())
      return 0;
    std::sort(LatenciesMicros.begin(), LatenciesMicros.end());
    auto last = static_cast<double>(LatenciesMicros.size() - 1);
    return LatenciesMicros[static_cast<size_t>(q * last)];
  }
};

class LoadGenerator {
public:
  explicit LoadGenerator(Endpoint target)
      : Target(std::move(target)), WorkGuard(Io.get_executor()),
        Client(Io, {FLAGS_at_once, Duration(20'000'000)}) {
    for (uint64_t i = 0; i < FLAGS_threads; ++i)
      Threads.emplace_back([this] { Io.run(); });
  }
  ~LoadGenerator() {
    Io.stop();
    for (auto &t : Threads)
      t.join();
  }

  json::object latency() {
    warmUp();
    asio::steady_timer timer(Io);
    auto begin = std::chrono::steady_clock::now();
    for (uint64_t i = 0; i < FLAGS_requests; ++i) {
      auto at = begin + std::chrono::duration_cast<std::chrono::nanoseconds>(
                            std::chrono::duration<double>(
                                static_cast<double>(i) / FLAGS_rate));
      std::this_thread::sleep_until(at);
      sendRequest(i, [this] { onRequestDone(); });
    }
    Done.get_future().wait();
    return resultsJson();
  }

  json::object throughput() {
    warmUp();
    TimePoint begin = monotonicNow();
    for (uint64_t i = 0; i < std::min(FLAGS_at_once, FLAGS_requests); ++i)
      sendNext();
    Done.get_future().wait();
    json::object out = resultsJson();
    double seconds =
        std::chrono::duration<double>(monotonicNow() - begin).count();
    out["requests_per_second"] = static_cast<double>(FLAGS_requests) / seconds;
    return out;
  }

  json::object streams() {
    uint64_t before = processMemoryKib("VmRSS");
    RemainingRequests = FLAGS_at_once;
    for (uint64_t i = 0; i < FLAGS_at_once; ++i)
      stream(i);
    Done.get_future().wait();
    json::object out = resultsJson();
    out["rss_before_kib"] = before;
    out["peak_kib"] = processMemoryKib("VmHWM");
    out["most_at_once"] = MaxOpenStreams.load();
    return out;
  }

  json::object idle() {
    using Socket = asio::ip::tcp::socket;
    uint64_t before = processMemoryKib("VmRSS");
    asio::io_context io;
    std::vector<Socket> sockets;
    asio::ip::tcp::endpoint to(asio::ip::make_address(Target.Address),
                               Target.Port);
    for (uint64_t i = 0; i < FLAGS_at_once; ++i) {
      sockets.emplace_back(io);
      sockets.back().connect(to);
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    uint64_t after = processMemoryKib("VmRSS");
    return {
        {"connections", FLAGS_at_once},
        {"rss_before_kib", before},
        {"rss_after_kib", after},
        {"bytes_per_connection", static_cast<double>(after - before) * 1024 /
                                     static_cast<double>(FLAGS_at_once)}};
  }

private:
  void warmUp() {
    constexpr uint64_t WarmUps = 200;
    constexpr uint64_t FirstWarmUp = 1'000'000'000;
    for (uint64_t i = 0; i < WarmUps; ++i) {
      std::promise<void> done;
      sendRequest(FirstWarmUp + i, [&done] { done.set_value(); });
      done.get_future().wait();
    }
    Results.Good = 0;
    std::lock_guard guard(Results.Mutex);
    Results.LatenciesMicros.clear();
    RemainingRequests = FLAGS_requests;
  }

  void sendRequest(uint64_t n, std::function<void()> then) {
    std::string prompt = makePrompt(n);
    TimePoint begin = monotonicNow();
    Client.fetch(Target, makeRequest(prompt, false), Duration::zero(),
                 [this, prompt, begin, then = std::move(then)](
                     const Error &error, const net::HttpResponse &response) {
                   Duration took = monotonicNow() - begin;
                   check(prompt, error, response);
                   {
                     std::lock_guard guard(Results.Mutex);
                     Results.LatenciesMicros.push_back(
                         static_cast<double>(took.count()));
                   }
                   then();
                 });
  }

  void check(const std::string &prompt, const Error &error,
             const net::HttpResponse &response) {
    boost::system::error_code ec;
    json::value answer = json::parse(response.Body, ec);
    if (error || response.Status != 200 || ec)
      return Results.fail(error.Detail + " " + std::to_string(response.Status) +
                          " " + response.Body);
    if (textOf(answer) == expectedText(prompt))
      ++Results.Good;
    else
      ++Results.WrongText;
  }

  void sendNext() {
    uint64_t n = StartedRequests++;
    if (n >= FLAGS_requests)
      return;
    sendRequest(n, [this] {
      onRequestDone();
      sendNext();
    });
  }

  void onRequestDone() {
    if (--RemainingRequests == 0)
      Done.set_value();
  }

  struct StreamState {
    net::SseParser Parser;
    unsigned Status = 0;
    std::string BodyStart; ///< Start of the body, for the failure message.
    std::string Text;
    bool IsComplete = false;
    bool HasData = false;
  };

  void stream(uint64_t n) {
    auto state = std::make_shared<StreamState>();
    net::HttpHooks hooks;
    hooks.Head = [state](unsigned status,
                         const std::vector<net::HttpHeader> &) {
      state->Status = status;
    };
    hooks.Data = [this, state](std::string_view data) {
      constexpr size_t ShownBytes = 300;
      if (state->BodyStart.size() < ShownBytes)
        state->BodyStart.append(data.substr(0, ShownBytes));
      if (!std::exchange(state->HasData, true))
        onStreamOpened();
      state->Parser.feed(data, [state](const net::SseEvent &event) {
        state->IsComplete |= event.Data == "[DONE]";
        boost::system::error_code ec;
        json::value value = json::parse(event.Data, ec);
        if (!ec)
          state->Text += textOf(value);
      });
    };
    hooks.Done = [this, state, n](const Error &error) {
      if (state->HasData)
        --OpenStreams;
      if (error || !state->IsComplete)
        Results.fail(error.Detail + " " + std::to_string(state->Status) + " " +
                     state->BodyStart);
      else if (state->Text == expectedText(makePrompt(n)))
        ++Results.Good;
      else
        ++Results.WrongText;
      onRequestDone();
    };
    Client.call(Target, makeRequest(makePrompt(n), true), Duration::zero(),
                std::move(hooks));
  }

  void onStreamOpened() {
    uint64_t now = ++OpenStreams;
    uint64_t maximum = MaxOpenStreams;
    while (now > maximum && !MaxOpenStreams.compare_exchange_weak(maximum, now))
      continue;
  }

  json::object resultsJson() {
    return {{"good", Results.Good.load()},
            {"failed", Results.Failed.load()},
            {"mixed", Results.WrongText.load()},
            {"p50_us", Results.quantile(0.5)},
            {"p99_us", Results.quantile(0.99)},
            {"first_failure", Results.FirstFailure}};
  }

  Endpoint Target;
  asio::io_context Io;
  asio::executor_work_guard<asio::io_context::executor_type> WorkGuard;
  net::HttpClient Client;
  std::vector<std::thread> Threads;
  Totals Results;
  std::atomic<uint64_t> StartedRequests{0};
  std::atomic<uint64_t> RemainingRequests{0};
  std::atomic<uint64_t> OpenStreams{0};
  std::atomic<uint64_t> MaxOpenStreams{0};
  std::promise<void> Done;
};

} // namespace
} // namespace daisytack

int main(int argc, char **argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  auto target = daisytack::parseEndpoint(FLAGS_target);
  if (!target) {
    std::cout << "loopback: a part of scripts/bench-loopback; give --target\n";
    return 0;
  }
  daisytack::LoadGenerator load(*target);
  boost::json::object out;
  if (FLAGS_mode == "latency")
    out = load.latency();
  else if (FLAGS_mode == "throughput")
    out = load.throughput();
  else if (FLAGS_mode == "streams")
    out = load.streams();
  else
    out = load.idle();
  std::cout << boost::json::serialize(out) << "\n";
  return 0;
}
