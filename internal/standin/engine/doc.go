// Package engine is the stand-in of a model engine.
//
// An engine is empty, loading or loaded. It loads by order, answers chat
// requests streamed or whole, and reports its load late. Its answer is a pure
// function of the request body and the served version (NewAnswer), so that a
// test or the load generator checks every byte.
//
// Capacity models a cold start: an engine carries little at first and more with
// completed requests or time. Above its capacity it gets slow, and when that
// lasts it fails for some seconds and drops its requests.
//
// A restart or crash empties the engine, ends its requests and changes the boot
// id. connector.NewEngine is the client of its orders.
package engine
