// The operators' configuration in the platform's store: one head value with the
// revision and the last edits, and checkpoints of the whole document. One
// compare-and-swap on the head accepts one edit.
#pragma once

#include "net/Store.h"

namespace rhubarb::net {

// One accepted edit.
struct ConfigEdit {
  std::string m_Id; // Random; finds the edit again after a lost answer.
  std::uint64_t m_Revision = 0;
  std::string m_Author;
  std::int64_t m_TimeMs = 0;
  std::vector<SectionChange> m_Changes;
};

// The head value. Revision R is the checkpoint plus the edits up to R.
struct ConfigHead {
  std::uint64_t m_Revision = 0;
  std::uint64_t m_CheckpointRevision = 0;
  std::vector<std::string> m_CheckpointKeys; // Chunks, in order.
  std::uint64_t m_CheckpointHash = 0;
  std::vector<ConfigEdit> m_Edits; // Oldest first.
};

// JSON form of edits, for the head and between agents.
Json::Value toJson(const std::vector<ConfigEdit> &Edits);
// Throws Json::Exception for anything of the wrong shape.
std::vector<ConfigEdit> readEdits(const Json::Value &Json);

std::string encodeHead(const ConfigHead &Head);
Result<ConfigHead> decodeHead(const std::string &Text);

// A head as read from the store, and its document once loaded.
struct LoadedConfig {
  ConfigHead m_Head;
  ConfigSections m_Sections;
  std::uint64_t m_ModifyIndex = 0; // Version of the head, for compare-and-swap.
  std::uint64_t m_WatchIndex = 0;
};

// Reads the head; waits for a newer one when WatchIndex is not 0.
asio::awaitable<Result<LoadedConfig>>
loadHead(const Store &Source, std::uint64_t WatchIndex, Duration Wait);
// Reads the checkpoint of a loaded head and applies its edits, so that
// m_Sections is the document of m_Head.m_Revision.
asio::awaitable<Result<LoadedConfig>> loadSections(const Store &Source,
                                                   LoadedConfig Loaded);

// How the writing of an edit ended.
enum class EditStatus : std::uint8_t { Accepted, Conflict, Invalid, Unknown };

// The end of an edit, with what the operator should see.
struct EditResult {
  EditStatus m_Status = EditStatus::Unknown;
  std::uint64_t m_Revision = 0;      // With Accepted.
  std::vector<ConfigError> m_Faults; // With Invalid.
  ConfigEdit m_ConflictingEdit;      // With Conflict: the edit that came first.
  std::string m_Message;
};

// Checks and writes one edit on top of Base. A lost answer is resolved by
// looking for the edit's id; Unknown is left only when the store stays silent.
asio::awaitable<EditResult> writeEdit(const Store &Target,
                                      const LoadedConfig &Base,
                                      std::vector<SectionChange> Changes,
                                      std::string Author);

} // namespace rhubarb::net
