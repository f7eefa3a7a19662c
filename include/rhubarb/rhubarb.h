// rhubarbstack: parts for steering requests between failure domains.
//
// The library has no sockets, no threads and no clock. An embedder passes in
// times and messages, and gets decisions back. Nothing here blocks, and nothing
// is thread-safe: give each thread its own tables.
//
// MANUAL
//
//  1. Describe work.      Config.h: checkConfig() turns operators' sections
//  into
//                         a Configuration of profiles, pools and services.
//  2. Queue it.           Queue.h: RankQueue::offer() admits or refuses at
//  once;
//                         take() says which request gets the next free slot.
//  3. Use slots exactly.  Servers.h: chooseOwner() says who uses a backend
//                         server; BackendServerTable::acquire()/release().
//  4. Send work away.     Grants.h: GrantWallet::plan() at the source,
//                         GrantDesk::ask()/start() at the receiver.
//  5. Mind the links.     Links.h: LinkShare::charge() before sending.
//  6. Run at most once.   Keys.h: KeyTable::admit(), markSent(), finish().
//  7. Retry sparingly.    Retry.h: RetryBudget::firstTry(), tryRetry().
//  8. Know the others.    Members.h: MemberTable::observe(),
//                         heartbeatTargets().
//  9. Steer callers.      Lookup.h: ClientBlockTable::find(),
//                         SteeringTable::step(), orderEntries().
// 10. Answer truthfully.  Errors.h: errorRow() gives each error kind its
// answer.
//
// Call every tick() at a steady pace (10 to 100 ms) with a time that never goes
// back. examples/embed.cpp is a whole program that uses parts 2 to 5.
#pragma once

#include "rhubarb/Config.h"  // What operators edit.
#include "rhubarb/Errors.h"  // Closed list of error kinds; Result<T>.
#include "rhubarb/Grants.h"  // Work for other entry processes.
#include "rhubarb/Keys.h"    // Idempotency keys, answers.
#include "rhubarb/Links.h"   // Shares of link caps.
#include "rhubarb/Lookup.h"  // Client blocks, order of entry VMs.
#include "rhubarb/Members.h" // Live and leaving VMs.
#include "rhubarb/Queue.h"   // Rank queues.
#include "rhubarb/Retry.h"   // Retry budgets.
#include "rhubarb/Servers.h" // Backend servers and their owners.
#include "rhubarb/Types.h"   // Times, ranks, random numbers.
