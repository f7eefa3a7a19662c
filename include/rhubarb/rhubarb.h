// rhubarbstack: components for steering requests between failure domains.
//
// The library has no sockets, no threads and no clock. An embedder passes in
// times and messages and gets decisions back. No call blocks, and nothing is
// thread-safe: use separate tables in each thread.
//
// MANUAL
//
//  1. Load the configuration: checkConfig() in Config.h turns the operators'
//     sections into a Configuration of profiles, pools and services.
//  2. Queue requests: AdmissionQueue::admit() in Queue.h admits or refuses a
//     request at once, and take() returns the one that gets the next free slot.
//  3. Allocate slots: chooseOwner() in Servers.h selects the user of a backend
//     server; BackendServerTable::acquire() and release() track its slots.
//  4. Send requests to other entry processes: in Grants.h,
//     GrantHolder::planRequests() at the sender, GrantIssuer::issue() and
//     start() at the receiver.
//  5. Respect bandwidth limits: call LinkShare::charge() in Links.h before
//     sending.
//  6. Run a request at most once: KeyTable::admit(), markSent() and finish() in
//     Keys.h.
//  7. Limit retries: RetryBudget::recordFirstAttempt() and tryTakeRetry() in
//     Retry.h.
//  8. Track the other VMs: MemberTable::observe() and heartbeatTargets() in
//     Members.h.
//  9. Distribute callers over entry VMs: ClientBlockTable::find(),
//     SteeringTable::step() and orderEntries() in Lookup.h.
// 10. Stop requests that crash servers: CrashSuspects::decide(), recordCrash()
//     and recordRun() in Suspects.h.
// 11. Use another VM where this one cannot reach the servers:
//     DetourTable::choose() in Detours.h and Fleet::isCutOff() in Fleet.h.
// 12. Report errors: errorInfo() in Errors.h maps each error kind to its
//     response.
//
// Call every tick() at a regular interval (10 to 100 ms) with a time that never
// decreases. examples/embed.cpp is a complete program that uses parts 2 to 5.
#pragma once

#include "rhubarb/Config.h"   // The operators' configuration.
#include "rhubarb/Detours.h"  // Requests through other VMs.
#include "rhubarb/Errors.h"   // Error kinds; Result<T>.
#include "rhubarb/Grants.h"   // Sending to other entry processes.
#include "rhubarb/Keys.h"     // Idempotency keys, stored responses.
#include "rhubarb/Links.h"    // Bandwidth shares of links.
#include "rhubarb/Lookup.h"   // Client address blocks, order of entry VMs.
#include "rhubarb/Members.h"  // Live and leaving VMs.
#include "rhubarb/Queue.h"    // Priority queues.
#include "rhubarb/Retry.h"    // Retry budgets.
#include "rhubarb/Servers.h"  // Backend servers and their owners.
#include "rhubarb/Suspects.h" // Requests that crash servers.
#include "rhubarb/Types.h"    // Times, priorities, random numbers.
