#include <iostream>
#include <nlohmann/json.hpp>

#include "ctl/commands.h"

namespace dogwoodfall {

void PrintJson(const std::string& text, const std::string& format) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (json.is_discarded()) {
    std::cout << text << "\n";
    return;
  }
  if (format != "table") {
    std::cout << json.dump(2) << "\n";
    return;
  }
  const nlohmann::json rows = json.flatten();
  for (const auto& [path, value] : rows.items()) {
    std::cout << path << "\t"
              << (value.is_string() ? value.get<std::string>() : value.dump())
              << "\n";
  }
}

}  // namespace dogwoodfall
