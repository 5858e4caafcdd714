// Package ctl holds the commands of eelgrassctl, the operators' command line.
//
// App builds the command tree and runs it. A command reads its settings, asks
// the gateways in the order of the list and prints the reply as a table or as
// JSON. Every command that changes something has an operation id, which it
// prints before the first attempt. The same id goes to the next gateway when
// one does not answer, so that a repeat has no second effect.
//
// The exit code tells what happened: 0 means done, and the codes of package
// classifier tell a refusal, a conflict, an unavailable system and an outcome
// that is not known apart. The command that checks a configuration has codes of
// its own.
package ctl
