// Package meter exports OpenTelemetry metrics in the Prometheus text format.
package meter
