#include "records/records.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace dogwoodfall {
namespace {

using Json = nlohmann::json;

Json ToJson(const DaemonRef& daemon) {
  return {{"daemon", daemon.id.value},
          {"incarnation", daemon.incarnation.value}};
}

DaemonRef DaemonRefFrom(const Json& json) {
  return {DaemonId(json.at("daemon").get<std::string>()),
          Incarnation(json.at("incarnation").get<uint64_t>())};
}

Json ToJson(const JournalRef& journal) {
  Json json = ToJson(journal.daemon);
  json["generation"] = journal.generation;
  return json;
}

JournalRef JournalRefFrom(const Json& json) {
  return {DaemonRefFrom(json), json.at("generation").get<uint64_t>()};
}

Json ToJson(const SlotEntry& slot) {
  Json json = {{"owner", ToJson(slot.owner)}, {"former", Json::array()}};
  for (const PreviousOwner& previous : slot.previous) {
    json["former"].push_back({{"journal", ToJson(previous.journal)},
                              {"newest_ms", previous.max_id_timestamp.count}});
  }
  return json;
}

SlotEntry SlotEntryFrom(const Json& json) {
  SlotEntry slot;
  slot.owner = JournalRefFrom(json.at("owner"));
  for (const Json& previous : json.at("former")) {
    slot.previous.push_back({JournalRefFrom(previous.at("journal")),
                             {previous.at("newest_ms").get<int64_t>()}});
  }
  return slot;
}

/** Parses a text and builds a value from it, with errors as results. */
template <typename Value, typename Build>
Result<Value> Decode(const std::string& text, const char* what, Build build) {
  const Json json = Json::parse(text, nullptr, false);
  try {
    return Result<Value>(build(json));
  } catch (const Json::exception& exception) {
    return Error{ResultCode::kInternal,
                 std::string(what) + ": " + exception.what()};
  }
}

}  // namespace

bool IsNone(const JournalRef& journal) {
  return journal.daemon.id.value.empty();
}

std::string JournalPrefix(const JournalRef& journal) {
  return "dogwoodfall/journal/" + journal.daemon.id.value + "/" +
         std::to_string(journal.daemon.incarnation.value) + "-" +
         std::to_string(journal.generation) + "/";
}

std::string JournalHeadKey(const JournalRef& journal) {
  return JournalPrefix(journal) + "head";
}

std::string JournalSegmentKey(const JournalRef& journal, uint64_t number) {
  return JournalPrefix(journal) + "segment/" + std::to_string(number);
}

std::string Encode(const JournalHead& head) {
  return Json{{"sealed", head.sealed}, {"floor_ms", head.low_watermark.count}}
      .dump();
}

Result<JournalHead> DecodeJournalHead(const std::string& text) {
  return Decode<JournalHead>(text, "journal head", [](const Json& json) {
    return JournalHead{json.at("sealed").get<bool>(),
                       {json.at("floor_ms").get<int64_t>()}};
  });
}

std::string Encode(const JournalSegment& segment) {
  Json claims = Json::array();
  for (const Claim& claim : segment.claims)
    claims.push_back({claim.key, claim.id_timestamp.count});
  return claims.dump();
}

Result<JournalSegment> DecodeJournalSegment(const std::string& text) {
  return Decode<JournalSegment>(text, "journal segment", [](const Json& json) {
    JournalSegment segment;
    for (const Json& claim : json) {
      segment.claims.push_back(
          {claim.at(0).get<std::string>(), {claim.at(1).get<int64_t>()}});
    }
    return segment;
  });
}

std::string Encode(const SlotTable& table) {
  Json slots = Json::array();
  for (const SlotEntry& slot : table.slots)
    slots.push_back(ToJson(slot));
  return Json{{"floor_ms", table.low_watermark.count},
              {"cluster_id", table.cluster_id},
              {"recoveries", table.recoveries},
              {"slots", slots}}
      .dump();
}

Result<SlotTable> DecodeSlotTable(const std::string& text) {
  return Decode<SlotTable>(text, "slot table", [](const Json& json) {
    SlotTable table;
    table.low_watermark = {json.at("floor_ms").get<int64_t>()};
    table.cluster_id = json.at("cluster_id").get<uint64_t>();
    table.recoveries = json.at("recoveries").get<uint64_t>();
    for (const Json& slot : json.at("slots"))
      table.slots.push_back(SlotEntryFrom(slot));
    return table;
  });
}

std::string SuccessorRecordKey(const DaemonRef& stopped) {
  return "dogwoodfall/stopped/" + stopped.id.value + "/" +
         std::to_string(stopped.incarnation.value);
}

std::string Encode(const SuccessorRecord& note) {
  return ToJson(note.successor).dump();
}

Result<SuccessorRecord> DecodeSuccessorRecord(const std::string& text) {
  return Decode<SuccessorRecord>(text, "stop note", [](const Json& json) {
    return SuccessorRecord{DaemonRefFrom(json)};
  });
}

}  // namespace dogwoodfall
