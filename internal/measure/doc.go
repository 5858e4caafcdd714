// Command measure prints how the cost of control grows with the number of
// agents, gateways, failure domains, listed instances and configuration changes.
//
// Gateways and agents under measurement are the built binaries, one process
// each; the program plays everything around them on loopback: the platform's
// log and instance list, attached agents, peer gateways and a bare forwarder.
// Processor time and memory are read from /proc/PID, bytes from /proc/PID/io,
// which counts what the process read and wrote on its sockets without the
// headers of TCP and IP. Logs are off, so nothing else is written.
package main
