// Package authenticator authenticates peers: callers by the digests of their
// bearer keys, and this system's own processes by TLS certificates.
//
// Keys are never stored; the configuration holds their SHA-256 digests. TLS is
// configured by files: a certificate and key enable TLS, and a file of certificate
// authorities makes it mutual between the processes of the system.
package authenticator
