/// Reads settings from an INI file. Errors are collected, so that all errors of
/// a file are reported together.
#pragma once

#include "daisytack/types.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace daisytack {

/// One error in a settings file.
struct SettingError {
  std::string File;
  std::string Key;   ///< "section.key".
  std::string Value; ///< "(hidden)" for secrets.
  std::string Remedy;
  auto operator<=>(const SettingError &) const = default;
};

/// "FILE: section.key = VALUE: REMEDY".
std::string toString(const SettingError &error);

/// Reads typed values by "section.key". A key that no call requested is an
/// error at finish().
class Settings {
public:
  /// Parses the text of an INI file; syntax errors are reported by finish().
  Settings(std::string fileName, std::string_view text);
  /// Reads and parses a file; an unreadable file is reported by finish().
  static Settings fromFile(const std::string &path);
  ~Settings();
  Settings(Settings &&) noexcept;

  bool has(std::string_view key) const;
  std::string text(std::string_view key, std::optional<std::string> fallback);
  /// Like text, but the value never appears in an error.
  std::string secret(std::string_view key, std::optional<std::string> fallback);
  bool flag(std::string_view key, std::optional<bool> fallback);
  int64_t integer(std::string_view key, std::optional<int64_t> fallback,
                  int64_t minimum, int64_t maximum);
  double number(std::string_view key, std::optional<double> fallback,
                double minimum, double maximum);
  /// "250us", "10ms", "3s", "5m", "2h", "7d".
  Duration duration(std::string_view key, std::optional<Duration> fallback,
                    Duration minimum, Duration maximum);
  /// "64", "64k", "16M", "1G" (powers of 1024).
  uint64_t bytes(std::string_view key, std::optional<uint64_t> fallback,
                 uint64_t minimum, uint64_t maximum);
  Endpoint endpoint(std::string_view key, std::optional<Endpoint> fallback);
  /// Comma-separated; empty when absent.
  std::vector<Endpoint> endpoints(std::string_view key);
  std::vector<std::string> list(std::string_view key);
  /// One of the given choices.
  std::string choice(std::string_view key, std::optional<std::string> fallback,
                     std::vector<std::string> choices);
  /// Keys of a section, for sections whose keys are names (such as
  /// [peer_keys]).
  std::vector<std::string> keysOf(std::string_view section);

  /// Adds an error found by the caller, such as two settings that contradict
  /// each other.
  void reject(std::string_view key, std::string remedy);
  /// Returns all errors, including unknown keys. Call after the last read.
  std::vector<SettingError> finish();

private:
  struct Impl;
  std::unique_ptr<Impl> Self;
};

/// Parses "250us", "10ms", "3s", "5m", "2h", "7d".
std::optional<Duration> parseDuration(std::string_view text);
/// Inverse of parseDuration, in the largest unit that divides the value.
std::string toString(Duration value);

} // namespace daisytack
