// Package isolator decides which requests are held back because they end their endpoints.
//
// Some faulty requests end the process of each endpoint that begins to answer them. Retries, and
// callers that come back, take such a request from one endpoint to the next, and each process that
// ends takes all its other requests along. What is at fault may be the whole content of a request,
// or one part of its prompt that many requests share while nothing else in them is alike. A
// Suspect names either, and a Digest identifies it.
//
// An Isolator counts, for each suspect, the processes that ended while they had a request with it.
// From MaxEndings on the suspect is held: no request with it is sent to an endpoint. Two things
// keep sound requests out of it:
//
//   - An answer that was whole proves that its content and parts are sound, and all endings from
//     before it began don't count any more.
//   - The endings of a suspect that is held explain those of all others that ran beside it: they
//     count only if its own are no more than theirs.
//
// A hold ends with a trial: one request, at one gateway of all, is sent. If it is served the
// suspect is released, otherwise the next trial comes much later. There are at most three. Each
// trial is claimed in the platform's store under the condition that nothing was written since, so
// that no two gateways make the same one, and one that is cut off makes none.
//
// Where the endings of several suspects are the same, any of them may be at fault. A request
// without one of them may then be sent as a trial at once, as it tells them apart.
//
// The Isolators of several gateways exchange endings and holds, so that they count together.
package isolator
