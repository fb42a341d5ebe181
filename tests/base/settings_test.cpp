#include "base/settings.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace daisytack {

TEST(Settings, ReadsEveryType) {
  Settings it("f.ini", "[a]\nt = word\nf = true\ni = -3\nn = 0.5\nd = 250us\n"
                       "b = 16M\ne = 127.0.0.1:80\nl = x, y ,,z\n"
                       "es = 127.0.0.1:1,[::1]:2\nc = red\n[keys]\none = s\n");
  EXPECT_EQ(it.text("a.t", std::nullopt), "word");
  EXPECT_TRUE(it.flag("a.f", std::nullopt));
  EXPECT_EQ(it.integer("a.i", std::nullopt, -5, 5), -3);
  EXPECT_EQ(it.number("a.n", std::nullopt, 0, 1), 0.5);
  EXPECT_EQ(it.duration("a.d", std::nullopt, Duration(0), Duration(1000)),
            Duration(250));
  EXPECT_EQ(it.bytes("a.b", std::nullopt, 0, 1U << 30U), 16U << 20U);
  EXPECT_EQ(it.endpoint("a.e", std::nullopt), (Endpoint{"127.0.0.1", 80}));
  EXPECT_EQ(it.list("a.l"), (std::vector<std::string>{"x", "y", "z"}));
  EXPECT_EQ(it.endpoints("a.es").size(), 2U);
  EXPECT_EQ(it.choice("a.c", std::nullopt, {"red", "blue"}), "red");
  EXPECT_EQ(it.keysOf("keys"), (std::vector<std::string>{"one"}));
  EXPECT_EQ(it.integer("a.absent", 7, 0, 9), 7);
  EXPECT_TRUE(it.finish().empty());
}

TEST(Settings, CollectsEveryMistakeWithItsRemedy) {
  Settings it("f.ini", "[a]\nport = 99999\nwait = 3\nmode = green\n"
                       "typo = secret-in-a-mistyped-key\n");
  it.integer("a.port", std::nullopt, 1, 65535);
  it.duration("a.wait", std::nullopt, Duration(0), Duration(1'000'000));
  it.choice("a.mode", std::nullopt, {"red", "blue"});
  it.text("a.name", std::nullopt);
  it.reject("a.mode", "clashes with a.port");
  auto errors = it.finish();
  ASSERT_EQ(errors.size(), 6U);
  EXPECT_EQ(toString(errors[0]), "f.ini: a.port = 99999: expected a whole "
                                 "number from 1 to 65535");
  EXPECT_EQ(errors[3].Value, "(missing)");
  EXPECT_EQ(errors[5].Key, "a.typo");
  EXPECT_EQ(errors[5].Value, "(not read)");
  EXPECT_NE(errors[5].Remedy.find("a.name"), std::string::npos);
}

TEST(Settings, SecretsNeverShow) {
  Settings it("f.ini", "[a]\nkey = hunter2\n");
  EXPECT_EQ(it.secret("a.key", std::nullopt), "hunter2");
  it.reject("a.key", "too short");
  for (const SettingError &error : it.finish())
    EXPECT_EQ(toString(error).find("hunter2"), std::string::npos);
}

TEST(Settings, SyntaxMistakeAndMissingFileAreTheOnlyErrors) {
  Settings bad("f.ini", "[a]\nnonsense\n");
  bad.text("a.needed", std::nullopt);
  auto errors = bad.finish();
  ASSERT_EQ(errors.size(), 1U);
  EXPECT_EQ(errors[0].File, "f.ini:2");
  Settings absent = Settings::fromFile("/nonexistent/daisytack.ini");
  EXPECT_EQ(absent.finish().size(), 1U);
}

TEST(Settings, DurationsRoundTrip) {
  for (const char *text : {"250us", "10ms", "3s", "5m", "2h", "7d", "0us"})
    EXPECT_EQ(toString(*parseDuration(text)), text);
  for (const char *bad :
       {"", "3", "s", "3 s", "-3s", "3S", "99999999999999999d", "1.s", ".5s",
        "1.5", "1..5s", "1.5.s", "1.5us", "0.0000001s", "1.-5s"})
    EXPECT_FALSE(parseDuration(bad)) << bad;
}

RC_GTEST_PROP(Settings, AnyTextGivesValuesOrErrors, (const std::string &text)) {
  Settings it("f.ini", "[a]\n" + text);
  it.integer("a.a", 1, 0, 9);
  it.bytes("a.b", 1, 0, 9);
  it.endpoints("a.c");
  for (const SettingError &error : it.finish())
    RC_ASSERT(!error.Remedy.empty());
}

RC_GTEST_PROP(Settings, EveryDurationRoundTrips, ()) {
  auto micros = *rc::gen::inRange<int64_t>(0, INT64_MAX);
  RC_ASSERT(parseDuration(toString(Duration(micros))) == Duration(micros));
}

} // namespace daisytack
