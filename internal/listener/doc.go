// Package listener opens the sockets of the daemons and serves HTTP on them.
package listener
