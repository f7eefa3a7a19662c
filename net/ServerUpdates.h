// News of one node to those of its region: which backend servers have run which
// objects lately, which are under high load, and which cannot be used.
#pragma once

#include "rhubarb/Fleet.h"

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace rhubarb::net {

// Hashes of objects, by the id of the server that knows them.
using AffinityUpdates = std::map<std::string, std::vector<std::uint64_t>>;

// Returns notifications that fit into a datagram each.
std::vector<std::string> encodeAffinityUpdates(const AffinityUpdates &Places);
// Reads one; throws Json::Exception for a message of the wrong shape.
AffinityUpdates readAffinityUpdates(const Json::Value &Json);

// High loads by the server's id.
using ServerLoadUpdates = std::map<std::string, ServerLoad>;

// Returns notifications that fit into a datagram each. Times are relative to
// Now.
std::vector<std::string> encodeServerLoadUpdates(const ServerLoadUpdates &Loads,
                                                 Time Now);
// Reads one; throws Json::Exception for a message of the wrong shape.
ServerLoadUpdates readServerLoadUpdates(const Json::Value &Json, Time Now);

// What one node has found out about a start of a server.
struct ServerEventUpdate {
  std::uint64_t m_Incarnation = 0; // As in its row of the fleet.
  ServerEvent m_Kind = ServerEvent::Unreachable;
};
using ServerEventUpdates = std::map<std::string, ServerEventUpdate>; // By id.

// Returns notifications that fit into a datagram each.
std::vector<std::string>
encodeServerEventUpdates(const ServerEventUpdates &Servers);
// Reads one; throws Json::Exception for a message of the wrong shape. Kinds
// that are not known are left out.
ServerEventUpdates readServerEventUpdates(const Json::Value &Json);

// Wraps a notification for a node that is to take it and pass it on to others.
std::string encodeForward(const std::string &Text,
                          const std::vector<std::string> &PassOnTo);
// What such a wrapped message holds.
struct ForwardedMessage {
  std::vector<std::string> m_ForwardTo;
  std::string m_Text;
};
// Reads one; throws Json::Exception for a message of the wrong shape.
ForwardedMessage readForwardedMessage(const Json::Value &Json);

} // namespace rhubarb::net
