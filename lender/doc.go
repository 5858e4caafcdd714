// Package lender decides how the request rate of a cold endpoint is divided among gateways: the
// agent beside the endpoint lends permits to the gateways that state a demand. It uses no network.
package lender
