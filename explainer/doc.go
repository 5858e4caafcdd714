// Package explainer reconstructs the timeline of one request from the logs of the
// processes.
//
// A log is a sequence of lines of key=value pairs. The timeline of a request holds
// the lines with its id and, as background, what the gateways that handled it and
// the agents of the endpoints that it reached logged shortly before: changes of the
// configuration and the versions, lost and regained sources, changes of those
// endpoints, loads.
package explainer
