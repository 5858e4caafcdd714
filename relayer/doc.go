// Package relayer distributes configuration, membership and endpoint status between
// gateways and agents.
//
// An agent keeps one Attach stream to a gateway of its failure domain. The gateway
// sends configuration records, the agent sends its status. The agent announces the
// offset that it has applied, so it can resume at any gateway. Gateways keep Exchange
// streams to every gateway of their failure domain and to at least one of each other
// failure domain; a Plan determines which side dials.
// Both sides of an Exchange stream announce their offset, and the one that is behind
// requests the missing records. A failure domain that has lost the log thus still
// receives them from other failure domains, and nothing is sent twice while the log
// works. Within a failure domain, gateways forward the status of the agents attached
// to them; between failure domains they send summaries.
//
// A Server is the gateway's side of both streams, a Client the agent's side of
// Attach, an Exchanger the dialling side of Exchange.
package relayer
