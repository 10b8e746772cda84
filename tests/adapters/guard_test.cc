#include "adapters/logging/guard.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace dogwoodfall {
namespace {

// An unexpected error while one event is handled must not end the process, nor
// keep the next event from being handled.
TEST(GuardTest, ExceptionEndsOnlyTheEvent) {
  EXPECT_FALSE(RunGuarded("test", []() { throw std::out_of_range("at"); }));
  EXPECT_FALSE(RunGuarded("test", []() { throw 7; }));
  EXPECT_FALSE(RunGuarded("test", []() {
    // A string that is not UTF-8 can't be written as JSON.
    nlohmann::json("\xff").dump();
  }));
  bool is_handled = false;
  EXPECT_TRUE(RunGuarded("test", [&is_handled]() { is_handled = true; }));
  EXPECT_TRUE(is_handled);
}

}  // namespace
}  // namespace dogwoodfall
