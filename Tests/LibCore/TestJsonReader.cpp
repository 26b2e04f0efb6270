//===- Tests/LibCore/TestJsonReader.cpp - Tests of JsonReader -------------===//
///
/// \file
/// Guards against errors that are reported one by one or without a location:
/// all errors of a text are reported together, each with its JSON pointer.
///
//===----------------------------------------------------------------------===//

#include <LibCore/JsonReader.h>
#include <gtest/gtest.h>

using namespace carobhinge;

TEST(JsonReader, SyntaxErrorNamesLineAndColumn) {
  Findings Out;
  EXPECT_FALSE(parseJson("{\n  \"a\": tru3\n}", Out).has_value());
  ASSERT_EQ(Out.items().size(), 1U);
  EXPECT_NE(Out.items()[0].Found.find("line 2"), std::string::npos);
}

TEST(JsonReader, AllErrorsAreReportedTogether) {
  Findings Out;
  auto Value =
      parseJson(R"({"limits":[{"queue":-1,"quueu":3},7],"a/b":1})", Out);
  ASSERT_TRUE(Value.has_value());
  JsonReader Reader(*Value, "", Out);
  Reader.requiredString("host");
  Reader.eachObject("limits", [](JsonReader &Each) {
    Each.optionalInteger("queue", 5, {.Min = 0, .Max = 9});
  });
  Reader.finish();
  ASSERT_EQ(Out.items().size(), 5U);
  EXPECT_EQ(Out.items()[0].Location, "/host");
  EXPECT_EQ(Out.items()[1].Location, "/limits/0/queue");
  EXPECT_EQ(Out.items()[1].Found, "-1");
  EXPECT_EQ(Out.items()[2].Location, "/limits/0/quueu");
  EXPECT_NE(Out.items()[2].Expected.find("\"queue\""), std::string::npos);
  EXPECT_EQ(Out.items()[3].Location, "/limits/1");
  EXPECT_EQ(Out.items()[4].Location, "/a~1b");
}

TEST(JsonReader, TooDeeplyNestedTextIsAFinding) {
  Findings Out;
  EXPECT_FALSE(parseJson(std::string(100, '['), Out).has_value());
  EXPECT_FALSE(Out.empty());
}
