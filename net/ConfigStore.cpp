#include "net/ConfigStore.h"

#include "net/Clock.h"
#include "net/Crypto.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rhubarb::net {
namespace {

constexpr const char *HeadKey = "rhubarb/config/head";
constexpr const char *CheckpointPrefix = "rhubarb/config/checkpoint/";
constexpr std::size_t EditsPerCheckpoint = 32;
constexpr std::size_t MaxEditsInHead = 64;
// The store limits values to 1 MB.
constexpr std::size_t ChunkBytes = 512U << 10U;
constexpr std::size_t MaxHeadBytes = 900U << 10U;
constexpr int ResolveAttempts = 5;
constexpr Duration ResolveInterval = 300ms;

Json::Value editObject(const ConfigEdit &Edit) {
  Json::Value Row;
  Row["id"] = Edit.m_Id;
  Row["revision"] = static_cast<Json::UInt64>(Edit.m_Revision);
  Row["author"] = Edit.m_Author;
  Row["time_ms"] = static_cast<Json::Int64>(Edit.m_TimeMs);
  Row["changes"] = toJson(Edit.m_Changes);
  return Row;
}

ConfigEdit readEdit(const Json::Value &Row) {
  ConfigEdit Edit;
  Edit.m_Id = Row["id"].asString();
  Edit.m_Revision = Row["revision"].asUInt64();
  Edit.m_Author = Row["author"].asString();
  Edit.m_TimeMs = Row["time_ms"].asInt64();
  Edit.m_Changes = readChanges(Row["changes"]);
  return Edit;
}

asio::awaitable<void> delay(Duration Length) {
  asio::steady_timer Timer(co_await asio::this_coro::executor, Length);
  co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

// Writes the document in chunks, each under a new key that is never
// overwritten. After a lost response the chunk is read back and compared.
asio::awaitable<bool> writeCheckpoint(const Store &Target, ConfigHead &Head,
                                      const ConfigSections &Sections,
                                      const std::string &EditId) {
  std::string Text = compactJson(toJson(Sections));
  Head.m_CheckpointKeys.clear();
  Head.m_CheckpointRevision = Head.m_Revision;
  Head.m_CheckpointHash = stableHash(Text);
  for (std::size_t Offset = 0; Offset < Text.size(); Offset += ChunkBytes) {
    std::string Key = CheckpointPrefix + EditId + "-" +
                      std::to_string(Head.m_CheckpointKeys.size());
    std::string Chunk = Text.substr(Offset, ChunkBytes);
    if (co_await Target.m_CompareAndSwap(Key, Chunk, 0) !=
        SwapStatus::Swapped) {
      Result<StoreValue> Stored = co_await Target.m_Get(Key, 0, Duration{0});
      if (!Stored || Stored.value().m_Value != Chunk)
        co_return false;
    }
    Head.m_CheckpointKeys.push_back(Key);
  }
  co_return true;
}

const ConfigEdit *findEdit(const ConfigHead &Head, const std::string &Id) {
  for (const ConfigEdit &Edit : Head.m_Edits)
    if (Edit.m_Id == Id)
      return &Edit;
  return nullptr;
}

// Reads the head to find out whether an edit with a lost response was accepted.
asio::awaitable<EditResult> resolveEdit(const Store &Target, std::string Id,
                                        std::uint64_t BaseRevision) {
  EditResult Out;
  Out.m_Message =
      "the store did not respond; run 'rhubarbctl history' and look for "
      "edit " +
      Id;
  for (int Attempt = 0; Attempt < ResolveAttempts; ++Attempt) {
    Result<LoadedConfig> Loaded = co_await loadHead(Target, 0, Duration{0});
    if (!Loaded) {
      co_await delay(ResolveInterval);
      continue;
    }
    const ConfigHead &Head = Loaded.value().m_Head;
    if (const ConfigEdit *Accepted = findEdit(Head, Id)) {
      Out.m_Status = EditStatus::Accepted;
      Out.m_Revision = Accepted->m_Revision;
      co_return Out;
    }
    if (Head.m_Revision > BaseRevision) {
      Out.m_Status = EditStatus::Conflict;
      for (const ConfigEdit &Edit : Head.m_Edits)
        if (Edit.m_Revision == BaseRevision + 1)
          Out.m_ConflictingEdit = Edit;
      Out.m_Message = "another edit was accepted first";
      co_return Out;
    }
    // The write may still be in transit, so the head is read again.
    co_await delay(ResolveInterval);
  }
  co_return Out;
}

} // namespace

Json::Value toJson(const std::vector<ConfigEdit> &Edits) {
  Json::Value Json(Json::arrayValue);
  for (const ConfigEdit &Edit : Edits)
    Json.append(editObject(Edit));
  return Json;
}

std::vector<ConfigEdit> readEdits(const Json::Value &Json) {
  if (!Json.isArray())
    throw Json::RuntimeError("expected an array of edits");
  std::vector<ConfigEdit> Edits;
  for (const Json::Value &Row : Json)
    Edits.push_back(readEdit(Row));
  return Edits;
}

std::string encodeHead(const ConfigHead &Head) {
  Json::Value Json;
  Json["schema"] = SchemaVersion;
  Json["revision"] = static_cast<Json::UInt64>(Head.m_Revision);
  Json["checkpoint_revision"] =
      static_cast<Json::UInt64>(Head.m_CheckpointRevision);
  Json["checkpoint_hash"] = static_cast<Json::UInt64>(Head.m_CheckpointHash);
  Json["checkpoint_keys"] = Json::Value(Json::arrayValue);
  for (const std::string &Key : Head.m_CheckpointKeys)
    Json["checkpoint_keys"].append(Key);
  Json["edits"] = toJson(Head.m_Edits);
  return compactJson(Json);
}

Result<ConfigHead> decodeHead(const std::string &Text) {
  Result<Json::Value> Parsed = parseJson(Text);
  if (!Parsed)
    return Parsed.error();
  try {
    const Json::Value &Json = Parsed.value();
    ConfigHead Head;
    Head.m_Revision = Json["revision"].asUInt64();
    Head.m_CheckpointRevision = Json["checkpoint_revision"].asUInt64();
    Head.m_CheckpointHash = Json["checkpoint_hash"].asUInt64();
    for (const Json::Value &Key : Json["checkpoint_keys"])
      Head.m_CheckpointKeys.push_back(Key.asString());
    Head.m_Edits = readEdits(Json["edits"]);
    return Head;
  } catch (const std::exception &Thrown) {
    return Error{ErrorKind::Internal,
                 std::string("config head: ") + Thrown.what()};
  }
}

asio::awaitable<Result<LoadedConfig>>
loadHead(const Store &Source, std::uint64_t WatchIndex, Duration Wait) {
  Result<StoreValue> Value = co_await Source.m_Get(HeadKey, WatchIndex, Wait);
  if (!Value)
    co_return Value.error();
  LoadedConfig Loaded;
  Loaded.m_ModifyIndex = Value.value().m_ModifyIndex;
  Loaded.m_WatchIndex = Value.value().m_WatchIndex;
  if (!Value.value().m_Exists)
    co_return Loaded;
  Result<ConfigHead> Head = decodeHead(Value.value().m_Value);
  if (!Head)
    co_return Head.error();
  Loaded.m_Head = Head.value();
  co_return Loaded;
}

asio::awaitable<Result<LoadedConfig>> loadSections(const Store &Source,
                                                   LoadedConfig Loaded) {
  std::string Text;
  for (const std::string &Key : Loaded.m_Head.m_CheckpointKeys) {
    Result<StoreValue> Chunk = co_await Source.m_Get(Key, 0, Duration{0});
    if (!Chunk)
      co_return Chunk.error();
    Text += Chunk.value().m_Value;
  }
  Loaded.m_Sections.clear();
  if (!Loaded.m_Head.m_CheckpointKeys.empty()) {
    Result<Json::Value> Json = parseJson(Text);
    if (!Json || stableHash(Text) != Loaded.m_Head.m_CheckpointHash)
      co_return Error{ErrorKind::Internal,
                      "the checkpoint does not match its hash"};
    try {
      Loaded.m_Sections = readSections(Json.value());
    } catch (const std::exception &Thrown) {
      co_return Error{ErrorKind::Internal, Thrown.what()};
    }
  }
  for (const ConfigEdit &Edit : Loaded.m_Head.m_Edits)
    if (Edit.m_Revision > Loaded.m_Head.m_CheckpointRevision)
      applyChanges(Loaded.m_Sections, Edit.m_Changes);
  co_return Loaded;
}

asio::awaitable<EditResult> writeEdit(const Store &Target,
                                      const LoadedConfig &Base,
                                      std::vector<SectionChange> Changes,
                                      std::string Author) {
  EditResult Out;
  ConfigHead Head = Base.m_Head;
  ConfigSections Sections = Base.m_Sections;
  applyChanges(Sections, Changes);
  ConfigCheck Check = checkConfig(Sections, Head.m_Revision + 1);
  if (!Check.m_Errors.empty()) {
    Out.m_Status = EditStatus::Invalid;
    Out.m_Faults = Check.m_Errors;
    co_return Out;
  }
  ++Head.m_Revision;
  ConfigEdit Edit{randomId(), Head.m_Revision, std::move(Author), unixMillis(),
                  std::move(Changes)};
  std::string Id = Edit.m_Id;
  Head.m_Edits.push_back(std::move(Edit));
  bool CheckpointDue =
      Head.m_Revision - Head.m_CheckpointRevision >= EditsPerCheckpoint ||
      encodeHead(Head).size() > MaxHeadBytes;
  if (CheckpointDue) {
    if (!co_await writeCheckpoint(Target, Head, Sections, Id)) {
      Out.m_Message =
          "the checkpoint could not be written; nothing has changed";
      co_return Out;
    }
    while (Head.m_Edits.size() > 1 && (Head.m_Edits.size() > MaxEditsInHead ||
                                       encodeHead(Head).size() > MaxHeadBytes))
      Head.m_Edits.erase(Head.m_Edits.begin());
    if (encodeHead(Head).size() > MaxHeadBytes)
      Head.m_Edits.back().m_Changes.clear(); // The checkpoint contains them.
  }
  SwapStatus Swapped = co_await Target.m_CompareAndSwap(
      HeadKey, encodeHead(Head), Base.m_ModifyIndex);
  if (Swapped == SwapStatus::Swapped) {
    Out.m_Status = EditStatus::Accepted;
    Out.m_Revision = Head.m_Revision;
    co_return Out;
  }
  co_return co_await resolveEdit(Target, Id, Base.m_Head.m_Revision);
}

} // namespace rhubarb::net
