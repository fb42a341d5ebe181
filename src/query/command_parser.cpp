#include "query/command_parser.h"

#include "base/settings.h"
#include "query/cell.h"
#include "query/token_reader.h"

#include <algorithm>

namespace daisytack::query {

namespace {

using control::ObjectKey;
using control::ObjectKind;

constexpr std::string_view ServerKind = "server";

/// Recursive descent parser of one command. The functions other than run()
/// parse what follows a verb, or one element of it.
class CommandParser {
public:
  explicit CommandParser(TokenReader &reader) : Reader(reader) {}

  std::optional<OperatorCommand> run() {
    Token verb = Reader.peek();
    std::optional<OperatorCommand> out;
    if (Reader.accept("admit"))
      out = admit();
    else if (Reader.accept("drain"))
      out = drain(true);
    else if (Reader.accept("undrain"))
      out = drain(false);
    else if (Reader.accept("swap"))
      out = swap();
    else if (Reader.accept("stop"))
      out = stop();
    else if (Reader.accept("set"))
      out = set(false);
    else if (Reader.accept("release"))
      out = release();
    else if (Reader.accept("purge"))
      out = purge();
    else if (Reader.accept("delete"))
      out = remove();
    else
      Reader.fail("a command", "use " + alternatives(commandVerbs()));
    if (!out || !Reader.expectEnd(""))
      return std::nullopt;
    return out;
  }

private:
  using Result = std::optional<OperatorCommand>;

  /// Parses the name of an object; `what` describes it in the error.
  bool name(std::string &out, std::string_view what) {
    Token token = Reader.peek();
    std::string expected = "the name of " + std::string(what);
    std::string remedy = "names have letters, digits, '.', '_' and '-', at "
                         "most " +
                         std::to_string(MaxNameBytes) + " bytes";
    if (!Reader.value(out, expected, remedy))
      return false;
    return control::isValidName(out) || Reader.failAt(token, expected, remedy);
  }

  bool objectKey(ObjectKey &out) {
    Token token = Reader.peek();
    std::string text;
    std::string remedy = "use " + alternatives(objectKinds());
    if (!Reader.value(text, "a kind of object", remedy))
      return false;
    auto kind = control::parseObjectKind(text);
    if (!kind)
      return Reader.failAt(token, "a kind of object", remedy);
    out.Kind = *kind;
    return objectName(out);
  }

  bool objectName(ObjectKey &key) {
    if (key.Kind != ObjectKind::ReusePolicy)
      return name(key.Name, "the object");
    Token token = Reader.peek();
    std::string_view form = "ORGANISATION:CLASS or ORGANISATION:*";
    if (!Reader.value(key.Name, form, "name the organisation and the class"))
      return false;
    Error reason;
    return control::parseObjectKey(control::toText(key), reason) ||
           Reader.failAt(token, form, "name the organisation and the class");
  }

  /// Parses FIELD=VALUE. Validates it by setting the field of a default object.
  bool field(const ObjectKey &key, control::FieldText &out) {
    Token fieldToken = Reader.peek();
    if (!Reader.value(out.Field, "FIELD=VALUE", "name the field to change"))
      return false;
    if (Reader.peek().Text != "=")
      return Reader.fail("'='", "write FIELD=VALUE");
    Reader.take();
    Token valueToken = Reader.peek();
    if (!Reader.value(out.Value, "a value", "write FIELD=VALUE"))
      return false;
    ConfigObject trial = control::defaultObject(key);
    control::FieldError fieldError;
    if (control::setField(trial, out.Field, out.Value, fieldError))
      return true;
    return hasField(trial, out.Field)
               ? Reader.failAt(valueToken, "a value of " + out.Field,
                               fieldError.Remedy)
               : Reader.failAt(fieldToken, "a field", fieldError.Remedy);
  }

  static bool hasField(const ConfigObject &object, std::string_view field) {
    auto all = control::fieldsOf(object);
    return std::any_of(all.begin(), all.end(),
                       [&](const auto &it) { return it.Field == field; });
  }

  Result set(bool mustBeNew) {
    SetObject out;
    out.MustBeNew = mustBeNew;
    if (!objectKey(out.Key))
      return std::nullopt;
    bool needsField = !mustBeNew;
    while (needsField || !Reader.atEnd()) {
      if (!field(out.Key, out.Fields.emplace_back()))
        return std::nullopt;
      needsField = false;
    }
    return out;
  }

  Result admit() {
    if (Reader.accept(ServerKind))
      return drain(false);
    return set(true);
  }

  Result drain(bool drained) {
    // The word "server" is optional.
    Reader.accept(ServerKind);
    DrainServer out{"", drained};
    if (!name(out.Server, "a server"))
      return std::nullopt;
    return out;
  }

  Result swap() {
    SwapModel out;
    if (!name(out.Model, "a model") || !Reader.expect("to") ||
        !name(out.Version, "a weight version"))
      return std::nullopt;
    if (!Reader.accept("adapter"))
      return out;
    std::string adapter;
    if (Reader.accept("none"))
      out.Adapter = "";
    else if (!name(adapter, "an adapter"))
      return std::nullopt;
    else
      out.Adapter = adapter;
    return out;
  }

  Result stop() {
    StopRequests out;
    if (Reader.accept("class")) {
      if (!name(out.Target.Class, "a class"))
        return std::nullopt;
      return out;
    }
    Reader.accept("request");
    Token token = Reader.peek();
    std::string text;
    std::string_view expected = "a request id or 'class NAME'";
    std::string_view remedy = "request ids have 32 hexadecimal digits; 'show "
                              "requests' lists them";
    if (!Reader.value(text, expected, remedy))
      return std::nullopt;
    out.Target.Request = parseId128(text);
    if (!out.Target.Request) {
      Reader.failAt(token, expected, remedy);
      return std::nullopt;
    }
    return out;
  }

  Result release() {
    ReleaseClass out;
    if (!name(out.Class, "a class"))
      return std::nullopt;
    bool isParsed = true;
    if (Reader.accept("now"))
      out.Kind = ReleaseClass::When::Now;
    else if (Reader.accept("never"))
      out.Kind = ReleaseClass::When::Never;
    else if (Reader.accept("in"))
      isParsed = releaseIn(out);
    else if (Reader.expect("at"))
      isParsed = releaseAt(out);
    else
      isParsed = false;
    if (!isParsed)
      return std::nullopt;
    return out;
  }

  bool releaseIn(ReleaseClass &out) {
    out.Kind = ReleaseClass::When::In;
    return typedValue(CellType::Duration, out.In);
  }

  bool releaseAt(ReleaseClass &out) {
    out.Kind = ReleaseClass::When::At;
    return typedValue(CellType::Time, out.At);
  }

  template <class T> bool typedValue(CellType type, T &out) {
    Token token = Reader.peek();
    std::string text;
    std::string remedy = "or use 'now', 'never', 'in DURATION', 'at TIME'";
    if (!Reader.value(text, cellFormatHint(type), remedy))
      return false;
    auto cell = parseCell(type, text);
    if (!cell)
      return Reader.failAt(token, cellFormatHint(type), remedy);
    out = std::get<T>(*cell);
    return true;
  }

  Result purge() {
    PurgeContext out;
    if (!name(out.Organisation, "an organisation"))
      return std::nullopt;
    return out;
  }

  Result remove() {
    DeleteObject out;
    if (!objectKey(out.Key))
      return std::nullopt;
    return out;
  }

  TokenReader &Reader;
};

} // namespace

OperatorRole roleFor(const OperatorCommand &command) {
  bool isConfiguration = std::holds_alternative<SetObject>(command) ||
                         std::holds_alternative<DeleteObject>(command) ||
                         std::holds_alternative<PurgeContext>(command);
  return isConfiguration ? OperatorRole::Administrator : OperatorRole::Operator;
}

std::optional<OperatorCommand> parseCommand(std::string_view text,
                                            ParseError &error) {
  auto tokens = tokenise(text, error);
  if (!tokens)
    return std::nullopt;
  TokenReader reader(std::move(*tokens), error);
  return CommandParser(reader).run();
}

bool isQuery(std::string_view text) {
  ParseError error;
  auto tokens = tokenise(text, error);
  return tokens && tokens->front().Text == "show";
}

const std::vector<std::string_view> &commandVerbs() {
  static const std::vector<std::string_view> Verbs{
      "admit", "drain",   "undrain", "swap",  "stop",
      "set",   "release", "purge",   "delete"};
  return Verbs;
}

std::vector<std::string_view> objectKinds() {
  std::vector<std::string_view> out;
  for (size_t i = 0; i < control::ObjectKinds; ++i)
    out.push_back(control::objectKindName(static_cast<ObjectKind>(i)));
  return out;
}

} // namespace daisytack::query
