// The operator's configuration in the platform's store: a head value with the
// revision and the latest edits, and checkpoints of the whole document. Each
// edit is committed by one compare-and-swap of the head.
#pragma once

#include "net/Store.h"

namespace rhubarb::net {

// An accepted edit.
struct ConfigEdit {
  std::string m_Id; // Random id; identifies the edit after a lost response.
  std::uint64_t m_Revision = 0;
  std::string m_Author;
  std::int64_t m_TimeMs = 0;
  std::vector<SectionChange> m_Changes;
};

// The head value. The document at a revision is the checkpoint with the later
// edits up to that revision applied.
struct ConfigHead {
  std::uint64_t m_Revision = 0;
  std::uint64_t m_CheckpointRevision = 0;
  // Keys of the chunks of the checkpoint, in order.
  std::vector<std::string> m_CheckpointKeys;
  std::uint64_t m_CheckpointHash = 0;
  std::vector<ConfigEdit> m_Edits; // Latest edits, oldest first.
};

// Encodes edits for the head and for messages between agents.
Json::Value toJson(const std::vector<ConfigEdit> &Edits);
// Decodes edits. Throws Json::Exception on invalid input.
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

// Reads the head. If WatchIndex is not 0, waits up to Wait for a newer head.
asio::awaitable<Result<LoadedConfig>>
loadHead(const Store &Source, std::uint64_t WatchIndex, Duration Wait);
// Reads the checkpoint of a loaded head and applies the later edits, so that
// m_Sections is the document at m_Head.m_Revision.
asio::awaitable<Result<LoadedConfig>> loadSections(const Store &Source,
                                                   LoadedConfig Loaded);
enum class EditStatus : std::uint8_t { Accepted, Conflict, Invalid, Unknown };

// Result of writing an edit, with details for the operator.
struct EditResult {
  EditStatus m_Status = EditStatus::Unknown;
  std::uint64_t m_Revision = 0;      // Set if m_Status is Accepted.
  std::vector<ConfigError> m_Faults; // Set if m_Status is Invalid.
  // The edit that was accepted instead; set if m_Status is Conflict.
  ConfigEdit m_ConflictingEdit;
  std::string m_Message;
};

// Validates an edit and writes it on top of Base. After a lost response, looks
// for the edit's id in the head; returns Unknown only if that does not show
// whether the edit was accepted, or if a checkpoint that is due cannot be
// written.
asio::awaitable<EditResult> writeEdit(const Store &Target,
                                      const LoadedConfig &Base,
                                      std::vector<SectionChange> Changes,
                                      std::string Author);

} // namespace rhubarb::net
