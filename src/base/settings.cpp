#include "base/settings.h"

#include "base/setting_text.h"

#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <sstream>

namespace daisytack {

namespace {

constexpr std::string_view HiddenValue = "(hidden)";
constexpr std::string_view MissingValue = "(missing)";
constexpr std::string_view UnreadValue = "(not read)";

std::string quoted(std::string_view text) {
  return "'" + std::string(text) + "'";
}

std::string joined(const std::vector<std::string> &words) {
  std::string out;
  for (const std::string &word : words)
    out += (out.empty() ? "" : ", ") + word;
  return out;
}

std::string sectionOf(std::string_view key) {
  auto dot = key.find('.');
  return std::string(dot == std::string_view::npos ? "" : key.substr(0, dot));
}

} // namespace

std::string toString(const SettingError &error) {
  std::string out = error.File + ": ";
  if (!error.Key.empty())
    out += error.Key + " = " + error.Value + ": ";
  return out + error.Remedy;
}

struct Settings::Impl {
  std::string File;
  std::map<std::string, std::string, std::less<>> Values;
  std::set<std::string, std::less<>> RequestedKeys;
  std::set<std::string, std::less<>> Secrets;
  std::vector<SettingError> Errors;
  std::optional<SettingError> FileError; ///< Reported instead of all others.

  void parse(std::string_view text);
  const std::string *find(std::string_view key);
  std::string displayValue(std::string_view key) const;
  void fail(std::string_view key, std::string remedy);
  SettingError unknownKey(const std::string &key) const;

  /// The parsed value, the fallback when the key is absent, or, after adding an
  /// error, the fallback or a default value.
  template <class T, class Parse>
  T read(std::string_view key, std::optional<T> fallback,
         const std::string &expected, Parse parseValue) {
    const std::string *value = find(key);
    if (!value) {
      if (!fallback)
        fail(key, "set it; expected " + expected);
      return fallback.value_or(T{});
    }
    std::optional<T> parsed = parseValue(std::string_view(*value));
    if (!parsed)
      fail(key, "expected " + expected);
    return parsed.value_or(fallback.value_or(T{}));
  }
};

void Settings::Impl::parse(std::string_view text) {
  std::istringstream stream{std::string(text)};
  boost::property_tree::ptree tree;
  try {
    boost::property_tree::read_ini(stream, tree);
  } catch (const boost::property_tree::ini_parser_error &error) {
    FileError = {File + ":" + std::to_string(error.line()), "", "",
                 error.message() +
                     "; write [section] lines and key = value lines"};
    return;
  }
  for (const auto &[section, body] : tree) {
    if (body.empty() && !body.data().empty())
      Values[section] = body.data();
    for (const auto &[key, value] : body) {
      std::string name = section;
      name += '.';
      name += key;
      Values[name] = value.data();
    }
  }
}

const std::string *Settings::Impl::find(std::string_view key) {
  RequestedKeys.emplace(key);
  auto it = Values.find(key);
  return it == Values.end() ? nullptr : &it->second;
}

std::string Settings::Impl::displayValue(std::string_view key) const {
  auto it = Values.find(key);
  if (it == Values.end())
    return std::string(MissingValue);
  return Secrets.contains(key) ? std::string(HiddenValue) : it->second;
}

void Settings::Impl::fail(std::string_view key, std::string remedy) {
  Errors.push_back(
      {File, std::string(key), displayValue(key), std::move(remedy)});
}

SettingError Settings::Impl::unknownKey(const std::string &key) const {
  std::string section = sectionOf(key);
  std::vector<std::string> known;
  for (const std::string &name : RequestedKeys)
    if (sectionOf(name) == section)
      known.push_back(name);
  std::string remedy = "unknown key; remove it";
  if (!known.empty())
    remedy += " or use one of: " + joined(known);
  // The value of a mistyped key may be a secret, so it is not shown.
  return {File, key, std::string(UnreadValue), remedy};
}

Settings::Settings(std::string fileName, std::string_view text)
    : Self(std::make_unique<Impl>()) {
  Self->File = std::move(fileName);
  Self->parse(text);
}

Settings Settings::fromFile(const std::string &path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (file)
    text << file.rdbuf();
  Settings out(path, text.str());
  if (!file)
    out.Self->FileError = {
        path, "", "",
        "can't be read; check the path and the file's permissions"};
  return out;
}

Settings::~Settings() = default;
Settings::Settings(Settings &&) noexcept = default;

bool Settings::has(std::string_view key) const {
  return Self->Values.contains(key);
}

std::string Settings::text(std::string_view key,
                           std::optional<std::string> fallback) {
  return Self->read<std::string>(
      key, std::move(fallback), "a text that is not empty",
      [](std::string_view value) -> std::optional<std::string> {
        if (value.empty())
          return std::nullopt;
        return std::string(value);
      });
}

std::string Settings::secret(std::string_view key,
                             std::optional<std::string> fallback) {
  Self->Secrets.emplace(key);
  return text(key, std::move(fallback));
}

bool Settings::flag(std::string_view key, std::optional<bool> fallback) {
  return Self->read<bool>(key, fallback, "true or false", parseFlag);
}

int64_t Settings::integer(std::string_view key, std::optional<int64_t> fallback,
                          int64_t minimum, int64_t maximum) {
  std::string expected = "a whole number from " + std::to_string(minimum) +
                         " to " + std::to_string(maximum);
  return Self->read<int64_t>(
      key, fallback, expected, [&](std::string_view text) {
        return inRange(parseInteger(text), minimum, maximum);
      });
}

double Settings::number(std::string_view key, std::optional<double> fallback,
                        double minimum, double maximum) {
  std::string expected =
      "a number from " + numberText(minimum) + " to " + numberText(maximum);
  return Self->read<double>(
      key, fallback, expected, [&](std::string_view text) {
        return inRange(parseNumber(text), minimum, maximum);
      });
}

Duration Settings::duration(std::string_view key,
                            std::optional<Duration> fallback, Duration minimum,
                            Duration maximum) {
  std::string expected = "a duration with its unit (us, ms, s, m, h, d) from " +
                         toString(minimum) + " to " + toString(maximum);
  return Self->read<Duration>(
      key, fallback, expected, [&](std::string_view text) {
        return inRange(parseDuration(text), minimum, maximum);
      });
}

uint64_t Settings::bytes(std::string_view key, std::optional<uint64_t> fallback,
                         uint64_t minimum, uint64_t maximum) {
  std::string expected = "bytes, as in 64k, 16M or 1G, from " +
                         bytesText(minimum) + " to " + bytesText(maximum);
  return Self->read<uint64_t>(
      key, fallback, expected, [&](std::string_view text) {
        return inRange(parseBytes(text), minimum, maximum);
      });
}

Endpoint Settings::endpoint(std::string_view key,
                            std::optional<Endpoint> fallback) {
  return Self->read<Endpoint>(key, std::move(fallback),
                              "ADDRESS:PORT with an IP number and a port "
                              "from 1 to 65535",
                              parseEndpoint);
}

std::vector<Endpoint> Settings::endpoints(std::string_view key) {
  std::vector<Endpoint> out;
  for (const std::string &word : list(key)) {
    std::optional<Endpoint> one = parseEndpoint(word);
    if (one)
      out.push_back(*one);
    else
      Self->fail(key, quoted(word) + " is not ADDRESS:PORT with an IP number "
                                     "and a port from 1 to 65535");
  }
  return out;
}

std::vector<std::string> Settings::list(std::string_view key) {
  const std::string *value = Self->find(key);
  return value ? splitList(*value) : std::vector<std::string>{};
}

std::string Settings::choice(std::string_view key,
                             std::optional<std::string> fallback,
                             std::vector<std::string> choices) {
  return Self->read<std::string>(
      key, std::move(fallback), "one of: " + joined(choices),
      [&](std::string_view text) -> std::optional<std::string> {
        if (std::find(choices.begin(), choices.end(), text) == choices.end())
          return std::nullopt;
        return std::string(text);
      });
}

std::vector<std::string> Settings::keysOf(std::string_view section) {
  std::string prefix = std::string(section) + ".";
  std::vector<std::string> out;
  for (auto it = Self->Values.lower_bound(prefix); it != Self->Values.end();
       ++it) {
    if (!it->first.starts_with(prefix))
      break;
    Self->RequestedKeys.insert(it->first);
    out.push_back(it->first.substr(prefix.size()));
  }
  return out;
}

void Settings::reject(std::string_view key, std::string remedy) {
  Self->fail(key, std::move(remedy));
}

std::vector<SettingError> Settings::finish() {
  // Without a readable file every key would be reported as missing.
  if (Self->FileError)
    return {*Self->FileError};
  std::vector<SettingError> out = Self->Errors;
  for (const auto &[key, value] : Self->Values)
    if (!Self->RequestedKeys.contains(key))
      out.push_back(Self->unknownKey(key));
  return out;
}

} // namespace daisytack
