#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "base/result_code.h"
#include "settings/settings.h"

namespace dogwoodfall {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(SOURCE_FOLDER) + "/docs/" + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Fails when ResultCodeTable() was changed without docs/RESULT-CODES.md.
TEST(DocumentationTest, ResultCodesPageListsExactlyTheCodes) {
  std::string table;
  for (const ResultCodeRow& row : ResultCodeTable()) {
    table += "| " + std::to_string(static_cast<int>(row.code)) + " | " +
             std::string(row.name) + " | " + std::to_string(row.http_status) +
             " | " + std::string(row.meaning) + " |\n";
  }
  EXPECT_NE(ReadPage("RESULT-CODES.md").find(table), std::string::npos)
      << table;
}

// Fails when SettingsTable() was changed without docs/SETTINGS.md.
TEST(DocumentationTest, SettingsPageListsExactlyTheSettings) {
  std::string table;
  for (const SettingRow& row : SettingsTable()) {
    table += "| " + row.path + " | " + row.unit + " | " + row.default_value +
             " | " + row.range + " | " + row.meaning + " |\n";
  }
  EXPECT_NE(ReadPage("SETTINGS.md").find(table), std::string::npos) << table;
}

}  // namespace
}  // namespace dogwoodfall
