// Package stopper ends the requests of a process in a planned stop: each one that was read gets
// a whole answer or a truthful refusal.
package stopper
