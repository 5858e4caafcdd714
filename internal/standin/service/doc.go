// Package service is the stand-in of a plain service with calls that must not be
// repeated.
//
// POST <prefix>bookings makes a booking each time it is called; the service
// counts the bookings by the field key of the body and by Idempotency-Key, so
// that a test sees each call that ran twice. GET of any other path under the
// prefix changes nothing.
package service
