#include "query/command_parser.h"
#include "query/command_plan.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack::query {

namespace {

OperatorCommand parsed(const std::string &text) {
  ParseError error;
  auto out = parseCommand(text, error);
  EXPECT_TRUE(out) << text << ": " << toString(error);
  return out.value_or(OperatorCommand{});
}

struct SyntaxErrorCase {
  const char *Text;
  size_t Column;
  const char *Expected;
};

Snapshot sample() {
  Snapshot out;
  out.Organisations.push_back({"acme", std::string(64, 'a')});
  out.Models.push_back({"m", "v1", "lora"});
  RequestClass bulletin;
  bulletin.Name = "bulletin";
  out.Classes.push_back(bulletin);
  Server server;
  server.Name = "agent-1";
  out.Servers.push_back(server);
  out.finish();
  return out;
}

ReusePolicy policy(const std::string &requestClass, uint32_t epoch) {
  ReusePolicy out;
  out.Organisation = "acme";
  out.Class = requestClass;
  out.Epoch = epoch;
  return out;
}

class Plan : public testing::Test {
protected:
  std::optional<std::vector<control::Command>> plan(const std::string &text) {
    uint64_t n = 0;
    CommandContext context{"ann", WallTime(Duration(1000)),
                           [&] { return ++n; }};
    return planCommand(parsed(text), CurrentSnapshot, context, Reason);
  }

  /// Applies the only change of a command to the object and returns the result.
  /// Sets Refused if the change fails.
  std::optional<ConfigObject> objectAfter(const std::string &text,
                                          std::optional<ConfigObject> object) {
    auto changes = plan(text);
    EXPECT_TRUE(changes) << Reason.Detail;
    if (!changes || changes->size() != 1)
      return std::nullopt;
    EXPECT_EQ(changes->front().Operator, "ann");
    Refused = !changes->front().Edit(object, Reason);
    return object;
  }

  Snapshot CurrentSnapshot = sample();
  Error Reason;
  bool Refused = false;
};

} // namespace

TEST(CommandParser, ParsesEveryCommand) {
  EXPECT_EQ(parsed("drain agent-1"), OperatorCommand(DrainServer{"agent-1"}));
  EXPECT_EQ(parsed("drain server agent-1"), parsed("drain agent-1"));
  EXPECT_EQ(parsed("admit server agent-1"), parsed("undrain agent-1"));
  EXPECT_EQ(parsed("swap m to v2"),
            OperatorCommand(SwapModel{"m", "v2", std::nullopt}));
  EXPECT_EQ(parsed("swap m to v2 adapter none"),
            OperatorCommand(SwapModel{"m", "v2", ""}));
  EXPECT_EQ(parsed("stop class c"),
            OperatorCommand(StopRequests{{std::nullopt, "c"}}));
  EXPECT_EQ(parsed("stop request 00000000000000000000000000000001"),
            parsed("stop 00000000000000000000000000000001"));
  EXPECT_EQ(parsed("purge acme"), OperatorCommand(PurgeContext{"acme"}));
  EXPECT_EQ(std::get<ReleaseClass>(parsed("release c in 10m")).In,
            std::chrono::minutes(10));
  EXPECT_EQ(
      std::get<SetObject>(parsed("set reuse acme:* keep_for=2h")).Fields.size(),
      1U);
  EXPECT_TRUE(std::get<SetObject>(parsed("admit class c")).MustBeNew);
  EXPECT_EQ(std::get<DeleteObject>(parsed("delete organisation acme")).Key.Name,
            "acme");
}

TEST(CommandParser, ReportsColumnAndExpectedTokenOfEachError) {
  const SyntaxErrorCase cases[] = {
      {"", 1, "a command"},
      {"frobnicate", 1, "a command"},
      {"drain", 6, "the name of a server"},
      {"drain a/b", 7, "the name of a server"},
      {"drain a b", 9, "the end"},
      {"swap m v2", 8, "'to'"},
      {"stop 12", 6, "a request id"},
      {"set thing x a=1", 5, "a kind of object"},
      {"set organisation acme", 22, "FIELD=VALUE"},
      {"set organisation acme weight", 29, "'='"},
      {"set organisation acme wait=3", 23, "a field"},
      {"set organisation acme weight=heavy", 30, "a value of weight"},
      {"set reuse acme reuse=true", 11, "ORGANISATION:CLASS"},
      {"release c at noon", 14, "a time such as"},
      {"release c in noon", 14, "a duration such as"},
      {"release c", 10, "'at'"},
  };
  for (const SyntaxErrorCase &it : cases) {
    ParseError error;
    EXPECT_FALSE(parseCommand(it.Text, error)) << it.Text;
    EXPECT_EQ(error.Column, it.Column) << it.Text << ": " << toString(error);
    EXPECT_EQ(error.Expected.rfind(it.Expected, 0), 0U) << toString(error);
    EXPECT_FALSE(error.Remedy.empty()) << it.Text;
  }
}

RC_GTEST_PROP(CommandParser, AnyWordsYieldCommandOrErrorWithinText, ()) {
  auto words = *rc::gen::container<std::vector<std::string>>(
      rc::gen::element<std::string>(
          "set", "organisation", "reuse", "acme", "acme:*", "weight", "=", "3",
          "stop", "class", "release", "at", "now", "in", "3s", "swap", "to",
          "adapter", "delete", "admit", "server", "\"\"", "\xff"));
  std::string text;
  for (const std::string &word : words)
    text += word + " ";
  ParseError error;
  if (!parseCommand(text, error)) {
    RC_ASSERT(error.Column >= 1U && error.Column <= text.size() + 1);
    RC_ASSERT(!error.Expected.empty() && !error.Remedy.empty());
  }
}

TEST(Roles, ConfigurationRequiresAdministrator) {
  EXPECT_EQ(roleFor(parsed("drain agent-1")), OperatorRole::Operator);
  EXPECT_EQ(roleFor(parsed("release c now")), OperatorRole::Operator);
  for (const char *text : {"set class c priority=3", "admit class c",
                           "delete class c", "purge acme"})
    EXPECT_EQ(roleFor(parsed(text)), OperatorRole::Administrator) << text;
}

TEST_F(Plan, RejectsUnknownNamesAndEpochChanges) {
  for (const char *text : {"drain other", "swap other to v2",
                           "release other now", "purge other"}) {
    EXPECT_FALSE(plan(text)) << text;
    EXPECT_EQ(Reason.Kind, ErrorKind::NotFound) << text;
    EXPECT_NE(Reason.Detail.find("show "), std::string::npos) << text;
  }
  EXPECT_FALSE(plan("set reuse acme:* epoch=0"));
  EXPECT_EQ(Reason.Kind, ErrorKind::Forbidden);
}

TEST_F(Plan, EditsTheObject) {
  auto drained = objectAfter("drain agent-1", std::nullopt);
  EXPECT_TRUE(std::get<ServerOverride>(*drained).Drained);
  EXPECT_FALSE(
      std::get<ServerOverride>(*objectAfter("undrain agent-1", drained))
          .Drained);
  Model model = CurrentSnapshot.Models[0];
  auto swapped = std::get<Model>(*objectAfter("swap m to v2", model));
  EXPECT_EQ(swapped.Version, "v2");
  EXPECT_EQ(swapped.Adapter, "lora");
  auto released =
      objectAfter("release bulletin in 1s", CurrentSnapshot.Classes[0]);
  EXPECT_EQ(std::get<RequestClass>(*released).ReleaseAt,
            WallTime(Duration(1'001'000)));
  EXPECT_FALSE(
      objectAfter("delete class bulletin", CurrentSnapshot.Classes[0]));
}

TEST_F(Plan, AdmitRejectsExistingAndDeleteRejectsMissingObjects) {
  objectAfter("admit class bulletin", CurrentSnapshot.Classes[0]);
  EXPECT_TRUE(Refused);
  EXPECT_EQ(Reason.Kind, ErrorKind::Conflict);
  objectAfter("delete class bulletin", std::nullopt);
  EXPECT_TRUE(Refused);
  EXPECT_EQ(Reason.Kind, ErrorKind::NotFound);
}

// A policy left at an old epoch would make purged context reusable for its
// class.
TEST_F(Plan, PurgeRaisesEveryPolicyAboveHighestEpoch) {
  CurrentSnapshot.Policies = {policy("*", 2), policy("bulletin", 7)};
  auto changes = plan("purge acme");
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes->size(), 2U);
  for (const control::Command &it : *changes) {
    std::optional<ConfigObject> object;
    ASSERT_TRUE(it.Edit(object, Reason));
    EXPECT_EQ(std::get<ReusePolicy>(*object).Epoch, 8U);
  }
  EXPECT_NE(changes->at(0).Id, changes->at(1).Id);
}

TEST_F(Plan, PurgedContextCannotBeReused) {
  CurrentSnapshot.Policies = {policy("*", 3)};
  // A new policy starts at the organisation's highest epoch.
  auto created =
      objectAfter("set reuse acme:bulletin reuse=true", std::nullopt);
  EXPECT_EQ(std::get<ReusePolicy>(*created).Epoch, 3U);
  // Deleting the policy for all classes would reset the epoch to the default.
  EXPECT_FALSE(plan("delete reuse acme:*"));
  EXPECT_EQ(Reason.Kind, ErrorKind::Forbidden);
  // A purge that was planned before another one took effect must still raise
  // the epoch.
  std::optional<ConfigObject> raced = policy("*", 9);
  ASSERT_TRUE(plan("purge acme")->front().Edit(raced, Reason));
  EXPECT_EQ(std::get<ReusePolicy>(*raced).Epoch, 10U);
}

TEST_F(Plan, PurgeCoversConcurrentlyWrittenPolicy) {
  // The policy was planned before the purge and written after it, with an epoch
  // below that of the purge. The purge must cover it nevertheless.
  CurrentSnapshot.Policies = {policy("*", 4), policy("bulletin", 3)};
  CurrentSnapshot.finish();
  EXPECT_EQ(CurrentSnapshot.policy("acme", "bulletin").Epoch, 4U);
  EXPECT_EQ(CurrentSnapshot.policy("acme", "bulletin").Class, "bulletin");
  EXPECT_EQ(CurrentSnapshot.policy("acme", "other").Epoch, 4U);
  EXPECT_EQ(CurrentSnapshot.policy("nobody", "other").Epoch, 0U);
}

} // namespace daisytack::query
