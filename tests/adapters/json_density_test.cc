#include "adapters/callers/json_density.h"

#include <gtest/gtest.h>

#include <string>

namespace dogwoodfall {
namespace {

std::string Repeat(const std::string& text, size_t count) {
  std::string repeated;
  for (size_t i = 0; i < count; ++i)
    repeated += text;
  return repeated;
}

// Without the check, such bodies of 1 MB raised the peak memory of a daemon
// from 25 to 92 MB (process_untrusted_fleet_bodies).
TEST(JsonDensityTest, ManyValuesInALargeTextAreFound) {
  EXPECT_TRUE(IsTooDense(Repeat("[", 100'000)));
  EXPECT_TRUE(IsTooDense("[" + Repeat("[],", 50'000) + "1]"));
  EXPECT_TRUE(IsTooDense("[" + Repeat("1,", 50'000) + "1]"));
}

// The shortest tasks that a caller can send must stay accepted.
TEST(JsonDensityTest, LargeJobIsNotTooDense) {
  const std::string task = R"({"id":"t","kind":"k","run_ms":1,"memory_mb":1},)";
  EXPECT_FALSE(IsTooDense(R"({"tasks":[)" + Repeat(task, 5'000) + "]}"));
}

// Text within strings and behind escaped quotes is no value.
TEST(JsonDensityTest, TextWithinStringsDoesNotCount) {
  EXPECT_FALSE(IsTooDense("[\"\\\"" + Repeat("[,{", 50'000) + "\"]"));
}

TEST(JsonDensityTest, SmallTextIsNotChecked) {
  EXPECT_FALSE(IsTooDense(Repeat("[", 1'000)));
}

}  // namespace
}  // namespace dogwoodfall
