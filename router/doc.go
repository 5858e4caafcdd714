// Package router holds the endpoints of a failure domain and selects one for
// each request.
//
// Table is the gateway's view of the endpoints. Readers load an immutable view
// through an atomic pointer and take no lock. A change of an endpoint's model or
// service, version or state copies the view; other changes of its status, and the
// load that responses report, are stored in atomic fields of the entry.
//
// The load of an endpoint is the number of requests that this gateway has in
// flight there plus those of other gateways as last reported. The second part
// decreases with the age of the report, so that a gateway that sends nothing to a
// full endpoint tries it again and finds out when it has a free slot. The agent
// enforces its limit itself; a wrong estimate costs one refusal.
//
// Picker prefers the endpoint that ranks first for the prompt prefix by
// rendezvous hashing, then the second, as long as its load is not far above the
// mean. Otherwise it takes the less loaded of two endpoints drawn at random. An
// endpoint that failed is picked only when no other can be, for a time that doubles
// with each consecutive failure, since one that fails fast has little load and would
// attract requests.
package router
