// Parsing and validation of callers' requests, identifiers and answer bodies.
#include "serve/caller_answer.h"
#include "serve/caller_ids.h"
#include "serve/caller_prompt.h"
#include "serve/caller_request.h"
#include "serve/caller_ticket.h"

#include "base/digest.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace daisytack;
using namespace daisytack::entry;

namespace {

constexpr Duration Second{1'000'000};
const std::string Secret(32, 's');

Snapshot makeConfig() {
  Snapshot out;
  Organisation desk;
  desk.Name = "desk";
  desk.KeyHash = hexDigest(sha256("desk key"));
  Organisation rival;
  rival.Name = "rival";
  out.Organisations = {desk, rival};
  Model model;
  model.Name = "m";
  model.Version = "v1";
  out.Models = {model};
  RequestClass urgent;
  urgent.Name = "urgent";
  urgent.Priority = 9;
  urgent.Deadline = 2 * Second;
  RequestClass bulletin;
  bulletin.Name = "bulletin";
  bulletin.ReleaseAt = WallTime(100 * Second);
  out.Classes = {urgent, bulletin};
  PlainService portal;
  portal.Name = "portal";
  out.Services = {portal};
  out.finish();
  return out;
}

class CallerRequestTest : public testing::Test {
protected:
  std::optional<PromptRequest> prompt(const CallerInput &input,
                                      bool chat = false) {
    CallerContext context{Config, *Config.organisation("desk"), Limits, Now,
                          Wall};
    Reason = {};
    return readPrompt(input, context, chat, Reason);
  }

  Snapshot Config = makeConfig();
  CallerLimits Limits;
  TimePoint Now{5 * Second};
  WallTime Wall{50 * Second};
  Error Reason;
};

CallerInput inputWithBody(std::string_view body) {
  CallerInput out;
  out.Method = "POST";
  out.Body = body;
  return out;
}

} // namespace

TEST_F(CallerRequestTest, ReadsAPrompt) {
  CallerInput input = inputWithBody(
      R"({"model":"m","prompt":"abcdefgh","max_tokens":7,"stream":true})");
  input.Class = "urgent";
  input.DeadlineMs = "1500";
  auto spec = prompt(input);
  ASSERT_TRUE(spec) << Reason.Detail;
  EXPECT_EQ(spec->Spec.Offer.Model, "m");
  EXPECT_EQ(spec->Spec.Offer.Organisation, "desk");
  EXPECT_EQ(spec->Spec.Offer.Priority, 9);
  EXPECT_EQ(spec->Spec.Offer.MaxTokens, 7U);
  EXPECT_EQ(spec->Spec.Offer.PromptTokens, 2U);
  EXPECT_TRUE(spec->Spec.Stream);
  EXPECT_EQ(spec->Spec.Deadline, Now + Duration(1'500'000));
}

TEST_F(CallerRequestTest, DeadlineIsCappedByTheClass) {
  CallerInput input = inputWithBody(R"({"model":"m","prompt":"a"})");
  input.Class = "urgent";
  input.DeadlineMs = "60000";
  EXPECT_EQ(prompt(input)->Spec.Deadline, Now + 2 * Second);
}

TEST_F(CallerRequestTest, RejectsInvalidRequests) {
  struct Case {
    const char *Body;
    const char *Class;
    const char *Deadline;
    ErrorKind Kind;
  };
  const Case cases[] = {
      {"", "", "", ErrorKind::BadRequest},
      {"[]", "", "", ErrorKind::BadRequest},
      {R"({"prompt":"a"})", "", "", ErrorKind::BadRequest},
      {R"({"model":"m"})", "", "", ErrorKind::BadRequest},
      {R"({"model":"m","prompt":""})", "", "", ErrorKind::BadRequest},
      {R"({"model":"m","prompt":7})", "", "", ErrorKind::BadRequest},
      {R"({"model":"m","prompt":"a","n":2})", "", "", ErrorKind::BadRequest},
      {R"({"model":"m","prompt":"a","stream":1})", "", "",
       ErrorKind::BadRequest},
      {R"({"model":"m","prompt":"a","max_tokens":-1})", "", "",
       ErrorKind::BadRequest},
      {R"({"model":"m","prompt":"a","max_tokens":99999999})", "", "",
       ErrorKind::BadRequest},
      {R"({"model":"x","prompt":"a"})", "", "", ErrorKind::UnknownModel},
      {R"({"model":"m","prompt":"a"})", "none", "", ErrorKind::UnknownClass},
      {R"({"model":"m","prompt":"a"})", "", "soon", ErrorKind::BadRequest},
      {R"({"model":"m","prompt":"a"})", "", "0", ErrorKind::BadRequest},
      {R"({"model":"m","prompt":"a"})", "", "5x", ErrorKind::BadRequest},
      {R"({"model":"m","prompt":"a"})", "bulletin", "20000",
       ErrorKind::DeadlineTooShort},
  };
  for (const Case &it : cases) {
    CallerInput input = inputWithBody(it.Body);
    input.Class = it.Class;
    input.DeadlineMs = it.Deadline;
    EXPECT_FALSE(prompt(input)) << it.Body;
    EXPECT_EQ(Reason.Kind, it.Kind) << it.Body << " " << it.Deadline;
  }
}

TEST_F(CallerRequestTest, ReadsChatsWithTextParts) {
  auto spec = prompt(inputWithBody(R"({"model":"m","messages":[
      {"role":"system","content":"guide"},
      {"role":"user","content":[{"type":"text","text":"a"},
                                {"type":"text","text":"b"}]}]})"),
                     true);
  ASSERT_TRUE(spec) << Reason.Detail;
  const ChatMessage messages[] = {{"system", "guide"}, {"user", "ab"}};
  EXPECT_EQ(promptText(spec->Spec.Offer), canonicalText(messages));
  EXPECT_FALSE(prompt(inputWithBody(R"({"model":"m","messages":[]})"), true));
  EXPECT_FALSE(prompt(
      inputWithBody(R"({"model":"m","messages":[{"role":"user"}]})"), true));
}

TEST_F(CallerRequestTest, ServiceCallsAreNonIdempotentByDefault) {
  CallerContext context{Config, *Config.organisation("desk"), Limits, Now,
                        Wall};
  CallerInput input = inputWithBody("body");
  input.Target = "/quote?x=1";
  auto spec = readServiceCall(input, context, "portal", {}, Reason);
  ASSERT_TRUE(spec);
  EXPECT_FALSE(spec->Offer.Idempotent);
  EXPECT_EQ(spec->Offer.Call.Target, "/quote?x=1");
  EXPECT_FALSE(readServiceCall(input, context, "other", {}, Reason));
  EXPECT_EQ(Reason.Kind, ErrorKind::UnknownService);
}

TEST_F(CallerRequestTest, PieceKeysFollowTheConfiguration) {
  std::string body =
      R"({"model":"m","prompt":")" + std::string(PieceBytes * 2, 'x') + R"("})";
  RequestSpec spec = prompt(inputWithBody(body))->Spec;
  PieceKeyer keyer(Secret);
  setPieceKeys(spec.Offer, spec.Scope, Config, keyer, promptText(spec.Offer));
  EXPECT_EQ(spec.Offer.Pieces.size(), 2U);
  EXPECT_EQ(spec.Offer.Version, "v1");
  wire::Offer later = spec.Offer;
  refreshPieceKeys(later, spec.Scope, Config, keyer);
  EXPECT_EQ(later, spec.Offer);
  Config.Models[0].Version = "v2";
  refreshPieceKeys(later, spec.Scope, Config, keyer);
  EXPECT_EQ(later.Version, "v2");
  EXPECT_EQ(later.Pieces.size(), 2U);
  EXPECT_NE(later.Pieces, spec.Offer.Pieces);
  ReusePolicy none;
  none.Organisation = "desk";
  none.Reuse = false;
  none.Epoch = 1;
  Config.Policies = {none};
  refreshPieceKeys(later, spec.Scope, Config, keyer);
  EXPECT_TRUE(later.Pieces.empty());
}

TEST(CallerHeaders, BearerKeysAndForwardedHeaders) {
  EXPECT_EQ(bearerKey("Bearer abc"), "abc");
  EXPECT_EQ(bearerKey("bearer abc"), "abc");
  for (const char *it : {"", "Bearer", "Bearer ", "Basic abc"})
    EXPECT_FALSE(bearerKey(it)) << it;
  for (const char *it : {"Authorization", "X-Daisytack-Class", "Connection",
                         "Idempotency-Key", "Transfer-Encoding"})
    EXPECT_FALSE(isForwardedHeader(it)) << it;
  EXPECT_TRUE(isForwardedHeader("Accept-Language"));
}

TEST(CallerIds, RequestIdsFollowOrganisationAndKey) {
  CallerIds ids(Secret);
  EXPECT_EQ(ids.requestId("desk", "k"),
            CallerIds(Secret).requestId("desk", "k"));
  EXPECT_NE(ids.requestId("desk", "k"), ids.requestId("rival", "k"));
  EXPECT_NE(ids.requestId("desk", "k 1"), ids.requestId("desk k", "1"));
  EXPECT_NE(ids.requestId("desk", "k"),
            CallerIds(std::string(32, 't')).requestId("desk", "k"));
}

RC_GTEST_PROP(CallerIds, EventIdsRoundTripForTheirOrganisationOnly, ()) {
  CallerIds ids(Secret);
  EventId id{{*rc::gen::arbitrary<uint64_t>(), 7},
             *rc::gen::element<std::string>("agent-1", "a.b.c", "x"),
             *rc::gen::arbitrary<uint32_t>()};
  std::string text = ids.eventId("desk", id);
  RC_ASSERT(ids.parseEventId("desk", text) == id);
  RC_ASSERT(!ids.parseEventId("rival", text));
  auto at = *rc::gen::inRange<size_t>(0, text.size());
  text[at] = text[at] == '1' ? '2' : '1';
  RC_ASSERT(!ids.parseEventId("desk", text));
  RC_ASSERT(!ids.parseEventId("desk", text.substr(0, at)));
}

TEST(CallerAnswer, WholeAnswersAndPartsAreOpenAiShaped) {
  AnswerIdentity name{{1, 2}, "m", true, 42};
  WholeAnswer whole{"text \"quoted\"", {}};
  whole.Summary.PromptTokens = 10;
  whole.Summary.RecomputedTokens = 4;
  whole.Summary.GeneratedTokens = 3;
  whole.Summary.FirstToken = Duration(1234);
  auto json = boost::json::parse(wholeAnswerJson(name, whole));
  EXPECT_EQ(json.at("object"), "chat.completion");
  const auto &choice = json.at("choices").at(0);
  EXPECT_EQ(choice.at("message").at("content"), "text \"quoted\"");
  EXPECT_EQ(json.at("usage").at("total_tokens"), 13);
  EXPECT_EQ(json.at("usage").at("prompt_tokens_details").at("cached_tokens"),
            6);
  EXPECT_EQ(json.at("usage").at("first_token_us"), 1234);
  auto part = boost::json::parse(answerPartJson(name, "hi", true));
  EXPECT_EQ(part.at("choices").at(0).at("delta").at("role"), "assistant");
  name.Chat = false;
  part = boost::json::parse(answerPartJson(name, "hi", true));
  EXPECT_EQ(part.at("choices").at(0).at("text"), "hi");
  auto end = boost::json::parse(answerEndJson(name, whole.Summary));
  EXPECT_EQ(end.at("choices").at(0).at("finish_reason"), "stop");
}

TEST(CallerTicket, ReadsTicketRequests) {
  Snapshot config = makeConfig();
  Error reason;
  auto request =
      readTicketRequest(R"({"service":"portal"})", config, "desk", reason);
  ASSERT_TRUE(request);
  EXPECT_EQ(*request, (CallerTicketRequest{"desk", "portal", true}));
  EXPECT_TRUE(readTicketRequest(R"({"model":"m"})", config, "desk", reason));
  for (const char *it :
       {"", "{}", R"({"service":1})", R"({"service":"no"})",
        R"({"model":"no"})", R"({"service":"portal","model":"m"})"})
    EXPECT_FALSE(readTicketRequest(it, config, "desk", reason)) << it;
}
