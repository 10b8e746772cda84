#include "core/ledger/submission_id.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <vector>

namespace dogwoodfall {
namespace {

constexpr std::string_view kMintedPrefix = "m1.";
constexpr size_t kMintedParts = 6;

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_' || c == '-' || c == '.' || c == ':';
}

bool ParseNumber(std::string_view text, uint64_t& number) {
  if (text.empty() || text.size() > 18)
    return false;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc() && end == text.data() + text.size();
}

std::vector<std::string_view> Split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  size_t begin = 0;
  while (true) {
    const size_t end = text.find(separator, begin);
    parts.push_back(text.substr(begin, end - begin));
    if (end == std::string_view::npos)
      return parts;
    begin = end + 1;
  }
}

Error BadId(const SubmissionId& id) {
  return {ResultCode::kBadSubmissionId,
          "id '" + id.value.substr(0, kMaxSubmissionIdBytes) +
              "' is neither minted nor NAME@MILLIS"};
}

Result<ParsedId> ParseMinted(const SubmissionId& id) {
  const std::vector<std::string_view> parts = Split(id.value, '.');
  MintedId minted;
  uint64_t millis = 0;
  if (parts.size() != kMintedParts || parts[1].empty() || parts[2].empty() ||
      !ParseNumber(parts[3], minted.home.incarnation.value) ||
      !ParseNumber(parts[4], millis) || !ParseNumber(parts[5], minted.counter))
    return BadId(id);
  minted.zone = ZoneId(std::string(parts[1]));
  minted.home.id = DaemonId(std::string(parts[2]));
  minted.minted_at = {static_cast<int64_t>(millis)};
  return ParsedId(minted);
}

}  // namespace

SubmissionId FormatMintedId(const MintedId& id) {
  return SubmissionId("m1." + id.zone.value + "." + id.home.id.value + "." +
                      std::to_string(id.home.incarnation.value) + "." +
                      std::to_string(id.minted_at.count) + "." +
                      std::to_string(id.counter));
}

Result<ParsedId> ParseSubmissionId(const SubmissionId& id) {
  if (id.value.empty() || id.value.size() > kMaxSubmissionIdBytes)
    return BadId(id);
  const std::string_view text = id.value;
  const size_t at = text.rfind('@');
  if (at == std::string_view::npos) {
    if (text.substr(0, kMintedPrefix.size()) != kMintedPrefix ||
        !std::all_of(text.begin(), text.end(), IsNameChar))
      return BadId(id);
    return ParseMinted(id);
  }
  CallerChosenId chosen;
  chosen.name = std::string(text.substr(0, at));
  uint64_t millis = 0;
  if (chosen.name.empty() ||
      !std::all_of(chosen.name.begin(), chosen.name.end(), IsNameChar) ||
      !ParseNumber(text.substr(at + 1), millis))
    return BadId(id);
  chosen.first_sent_at = {static_cast<int64_t>(millis)};
  return ParsedId(chosen);
}

SubmissionKey KeyOf(const CustomerId& customer, const SubmissionId& id) {
  if (id.value.find('@') == std::string::npos)
    return SubmissionKey(id.value);
  return SubmissionKey(customer.value + "/" + id.value);
}

}  // namespace dogwoodfall
