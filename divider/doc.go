// Package divider divides the limits of client accounts among gateways by
// demand.
//
// A limit is declared for an account as a whole, and the platform's load balancer
// distributes its callers unevenly among the gateways. Each gateway measures the
// requests that it receives (Meter) and gets the demand of the others. Shares gives
// each gateway a fraction of the account's limit in proportion to its demand, with a
// small minimum for gateways without demand, so that a first request is admitted.
// The shares of gateways with the same figures add up to the limit; figures that
// differ for a second only cost some accuracy. A gateway that doesn't get the demand
// of some of the others enforces an equal share, which is safe whatever the others do.
package divider
