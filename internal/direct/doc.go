// Package direct runs the gateway and the agent of direct dispatch: gateways send
// requests straight to endpoints, and each agent loads the target version into the
// engine of its instance.
//
// Neither stores any state. The configuration, the endpoint list and the gateway
// list are tables of the platform, which the observer package follows. Everything
// that is specific to the platform is passed in as a Platform, so this package
// doesn't depend on its names and formats.
package direct
