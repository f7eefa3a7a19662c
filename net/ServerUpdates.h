// Updates about backend servers that a node sends to the other nodes of its
// region: which objects each server has run recently (affinity), which servers
// are under high load, and which became unusable or usable again (events); and
// to all other nodes: the limits that servers name, and the requests sent.
#pragma once

#include "rhubarb/Fleet.h"
#include "rhubarb/Suspects.h"

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarb::net {

// Hashes of the objects that each server has run recently, by server id. The
// server is warm for these.
using AffinityUpdates = std::map<std::string, std::vector<std::uint64_t>>;

// Encodes notifications that each fit into a datagram.
std::vector<std::string> encodeAffinityUpdates(const AffinityUpdates &Updates);
// Decodes one notification. Throws Json::Exception if it is malformed.
AffinityUpdates readAffinityUpdates(const Json::Value &Json);

// Load of each server under high load, by server id.
using ServerLoadUpdates = std::map<std::string, ServerLoad>;

// Encodes notifications that each fit into a datagram. Times are encoded
// relative to Now.
std::vector<std::string>
encodeServerLoadUpdates(const ServerLoadUpdates &Updates, Time Now);
// Decodes one notification. Throws Json::Exception if it is malformed.
ServerLoadUpdates readServerLoadUpdates(const Json::Value &Json, Time Now);

// An event that a node has observed on one incarnation of a server.
struct ServerEventUpdate {
  std::uint64_t m_Incarnation = 0; // Equal to BackendState::m_Incarnation.
  ServerEvent m_Event = ServerEvent::Unreachable;
};
// Latest event of each server, by server id.
using ServerEventUpdates = std::map<std::string, ServerEventUpdate>;

// Encodes notifications that each fit into a datagram.
std::vector<std::string>
encodeServerEventUpdates(const ServerEventUpdates &Updates);
// Decodes one notification and ignores unknown kinds of events. Throws
// Json::Exception if it is malformed.
ServerEventUpdates readServerEventUpdates(const Json::Value &Json);

// The limits of backend servers, and what one node has sent under them.
struct RateLimitUpdates {
  std::string m_Vm;                // IP address of the node.
  std::uint64_t m_Incarnation = 0; // Start of the node's process.
  struct Row {
    std::uint64_t m_Incarnation = 0; // Equal to BackendState::m_Incarnation.
    RateLimitUpdate m_Update;
  };
  std::map<std::string, Row> m_Servers; // By server id.
};

// Encodes notifications that each fit into a datagram. Times are encoded
// relative to Now.
std::vector<std::string> encodeRateLimitUpdates(const RateLimitUpdates &Updates,
                                                Time Now);
// Decodes one notification. Throws Json::Exception if it is malformed.
RateLimitUpdates readRateLimitUpdates(const Json::Value &Json, Time Now);

// Encodes notifications about requests that crash servers, each of which fits
// into a datagram. Times are encoded relative to Now.
std::vector<std::string>
encodeSuspectUpdates(const std::vector<SuspectUpdate> &Updates, Time Now);
// Decodes one notification. Throws Json::Exception if it is malformed.
std::vector<SuspectUpdate> readSuspectUpdates(const Json::Value &Json,
                                              Time Now);

// Wraps a notification for a node that applies it and forwards it to other
// VMs.
std::string encodeForward(const std::string &Text,
                          const std::vector<std::string> &ForwardTo);
// Content of a wrapped notification.
struct ForwardedMessage {
  std::vector<std::string> m_ForwardTo;
  std::string m_Text;
};
// Decodes a wrapped notification. Throws Json::Exception if it is malformed.
ForwardedMessage readForwardedMessage(const Json::Value &Json);

} // namespace rhubarb::net
