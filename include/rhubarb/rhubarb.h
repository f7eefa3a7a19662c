// rhubarbstack: components for steering requests between failure domains.
//
// The library has no sockets, no threads and no clock. An embedder passes in
// times and messages and gets decisions back. No call blocks, and nothing is
// thread-safe: use separate tables in each thread.
//
// MANUAL
//
//  1. Load the configuration. Config.h: checkConfig() turns the operators'
//     sections into a Configuration of profiles, pools and services.
//  2. Queue requests. Queue.h: AdmissionQueue::admit() admits or refuses at
//     once; take() returns the request that gets the next free slot.
//  3. Allocate slots. Servers.h: chooseOwner() selects the user of a backend
//     server; BackendServerTable::acquire() and release() track its slots.
//  4. Send requests to other entry processes. Grants.h:
//     GrantHolder::planRequests() at the sender, GrantIssuer::issue() and
//     start() at the receiver.
//  5. Respect bandwidth limits. Links.h: LinkShare::charge() before sending.
//  6. Run a request at most once. Keys.h: KeyTable::admit(), markSent(),
//     finish().
//  7. Limit retries. Retry.h: RetryBudget::recordFirstAttempt(),
//     tryTakeRetry().
//  8. Track the other VMs. Members.h: MemberTable::observe(),
//     heartbeatTargets().
//  9. Distribute callers over entry VMs. Lookup.h: ClientBlockTable::find(),
//     SteeringTable::step(), orderEntries().
// 10. Report errors. Errors.h: errorInfo() maps each error kind to its
//     response.
//
// Call every tick() at a regular interval (10 to 100 ms) with a time that never
// decreases. examples/embed.cpp is a complete program that uses parts 2 to 5.
#pragma once

#include "rhubarb/Config.h"  // The operators' configuration.
#include "rhubarb/Errors.h"  // Error kinds; Result<T>.
#include "rhubarb/Grants.h"  // Sending to other entry processes.
#include "rhubarb/Keys.h"    // Idempotency keys, stored responses.
#include "rhubarb/Links.h"   // Bandwidth shares of links.
#include "rhubarb/Lookup.h"  // Client address blocks, order of entry VMs.
#include "rhubarb/Members.h" // Live and leaving VMs.
#include "rhubarb/Queue.h"   // Priority queues.
#include "rhubarb/Retry.h"   // Retry budgets.
#include "rhubarb/Servers.h" // Backend servers and their owners.
#include "rhubarb/Types.h"   // Times, priorities, random numbers.
