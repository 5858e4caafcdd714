// Package e2e holds tests of the whole path: the real binaries as separate
// processes on loopback, with kills, freezes, cuts and outages of the platform.
package e2e
