// Package guarder runs a non-idempotent call of a plain service at most once
// for each idempotency key.
//
// The agents of a service share one log stream of intents. An agent that
// receives a call with a key appends an intent and reads the stream back. It
// runs the call only if its intent is the first one for the key in log order;
// this intent is the winner. Every agent applies the same records to its table
// of keys, so all agree on the winner without further communication. An agent
// whose intent lost asks the winner's process for the answer of the first run.
//
// An intent belongs to one invocation of Do in one process, identified by its
// operation id and boot id; only that invocation can run the call. When Do
// returns without having run the call, the operation is refused permanently, in
// memory, and the process reports this to agents that ask. An agent that learns
// this from a live winner's process appends a takeover intent, which names the
// offset of the intent that it replaces. The first takeover of that offset
// becomes the winner. When the winner's process has ended, no agent knows whether
// it ran the call: the outcome is unknown and the call is not run again.
//
// The kind of Do's error depends on where the intent can be. Before its append
// was sent, or after the log refused it, the call was not run and cannot run:
// the error is of kind Unavailable. While the intent may be in the log and is
// undecided, the error is of kind OutcomeUnknown. "Not run" is a statement about
// this invocation of Do, not about earlier calls with the same key at other
// agents.
//
// A key is remembered for Window after its last intent, in the log's time. A
// process that starts needs the whole window: it is ready once its known
// history reaches back that far. An intent near the beginning of the known
// history may have lost to one that the log dropped; such an entry is not taken
// over. Keys in the form of a UUIDv7 carry their time, and one that is
// older than the window is refused with an unknown outcome. For other keys, and
// for keys whose time is ahead of the agents' clocks, a repeat after the window
// is a new call.
//
// A log that returned from an older copy may lack acknowledged intents. Agents record
// in a stream of their own since when the log has been in its epoch, and run no call
// until that is a window (docs/design/restored-store.md).
//
// Intents of concurrent calls share one append (group commit), as producers of
// Kafka batch messages (Kreps, Narkhede, Rao: "Kafka: a Distributed Messaging
// System for Log Processing", NetDB 2011). The log takes a few hundred appends
// a second; without batches this would bound the calls a second of the service.
// BenchmarkGroupCommit, with three agents at a log of 300 appends a second and
// 300 concurrent callers, measured 288 calls a second with a median of 816 ms
// for one append per intent, and 22,587 with 9.8 ms for batches.
package guarder
