// Package direct runs the gateway and the agent of direct dispatch: gateways send
// requests straight to endpoints, and agents bring the engines beside them to the
// named versions.
//
// Neither keeps anything. The configuration, the list of endpoints and the list of
// gateways are tables of the platform, which the observer package follows. What is
// the platform's own comes in with a Platform, so this package knows none of its
// names.
package direct
