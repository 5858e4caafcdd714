// Package retrier decides whether a failed attempt may be retried.
//
// Two rules apply. The first is safety: an attempt is retried only if it is
// proven not to have run, or if the call is idempotent; never after the first
// byte of the response was sent to the caller and never after the caller's
// deadline. The second is a Budget: retries are bounded to a share of the
// offered requests, so that they do not multiply the load of a failing
// endpoint.
//
// The caller chooses the endpoint for the retry and excludes those that were
// already tried.
package retrier
