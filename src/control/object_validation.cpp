#include "control/field_text.h"
#include "control/object_codec.h"

#include <algorithm>
#include <cmath>

namespace daisytack::control {

namespace {

constexpr uint32_t MaxWeight = 1000;
constexpr double MaxRequestsPerSecond = 1e6;
constexpr uint32_t MaxCount = 10'000'000;
constexpr uint64_t MaxQuotaBytes = 1ULL << 50;
constexpr uint32_t MaxPriority = 9;
constexpr Duration MinDeadline{10'000};
constexpr Duration MaxDeadline{24LL * 3600 * 1'000'000};
constexpr Duration MinKeepFor{1'000'000};
constexpr Duration MaxKeepFor{365LL * 24 * 3600 * 1'000'000};
constexpr size_t KeyHashDigits = 64;

/// Collects the validation errors of one object.
class Checker {
public:
  template <class T>
  void range(std::string_view field, const T &value, const T &min,
             const T &max) {
    // Written so that a NaN is out of range.
    if (value >= min && value <= max)
      return;
    add(field, fieldText(value),
        "use " + fieldText(min) + " to " + fieldText(max));
  }

  void name(std::string_view field, const std::string &value) {
    if (!isValidName(value))
      add(field, value,
          "use 1 to " + std::to_string(MaxNameBytes) +
              " letters, digits, '.', '_' or '-'");
  }

  void keyHash(const std::string &value) {
    bool digits = std::all_of(value.begin(), value.end(), [](char c) {
      return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    });
    if (value.size() != KeyHashDigits || !digits)
      add("key_hash", "(hidden)",
          "use the SHA-256 of the key, 64 lower-case hexadecimal digits");
  }

  std::vector<FieldError> take() { return std::move(Errors); }

private:
  void add(std::string_view field, std::string value, std::string remedy) {
    Errors.push_back({std::string(field), std::move(value), std::move(remedy)});
  }

  std::vector<FieldError> Errors;
};

void check(const Organisation &o, Checker &to) {
  to.name("name", o.Name);
  to.keyHash(o.KeyHash);
  to.range<uint32_t>("weight", o.Weight, 1, MaxWeight);
  to.range("requests_per_second", o.RequestsPerSecond, 0.001,
           MaxRequestsPerSecond);
  to.range<uint32_t>("burst", o.Burst, 1, MaxCount);
  to.range<uint32_t>("max_concurrent", o.MaxConcurrent, 1, MaxCount);
  to.range<uint64_t>("kept_bytes", o.KeptBytes, 0, MaxQuotaBytes);
}

void check(const Model &o, Checker &to) {
  to.name("name", o.Name);
  to.name("version", o.Version);
  if (!o.Adapter.empty())
    to.name("adapter", o.Adapter);
  to.range<uint32_t>("min_servers", o.MinServers, 0, MaxCount);
}

void check(const RequestClass &o, Checker &to) {
  to.name("name", o.Name);
  to.range<uint32_t>("priority", o.Priority, 0, MaxPriority);
  to.range("deadline", o.Deadline, MinDeadline, MaxDeadline);
}

void check(const ReusePolicy &o, Checker &to) {
  to.name("organisation", o.Organisation);
  if (o.Class != "*")
    to.name("class", o.Class);
  to.range("keep_for", o.KeepFor, MinKeepFor, MaxKeepFor);
  to.range<uint64_t>("max_bytes", o.MaxBytes, 0, MaxQuotaBytes);
}

void check(const PlainService &o, Checker &to) {
  to.name("name", o.Name);
  to.range("deadline", o.Deadline, MinDeadline, MaxDeadline);
}

void check(const ServerOverride &o, Checker &to) { to.name("name", o.Name); }

void check(const OperatorAccount &o, Checker &to) {
  to.name("name", o.Name);
  to.keyHash(o.KeyHash);
}

bool isNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
}

} // namespace

std::string toString(const FieldError &error) {
  return error.Field + " = " + error.Value + ": " + error.Remedy;
}

std::vector<FieldError> validate(const ConfigObject &object) {
  Checker checker;
  std::visit([&](const auto &o) { check(o, checker); }, object);
  return checker.take();
}

bool isValidName(std::string_view name) {
  return !name.empty() && name.size() <= MaxNameBytes &&
         std::all_of(name.begin(), name.end(), isNameCharacter);
}

} // namespace daisytack::control
