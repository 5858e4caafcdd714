// Package explainer tells the story of one request from the logs of the processes.
//
// A log is a sequence of lines of key=value pairs. The story of a request is made of
// the lines that carry its id and, as its background, of what the gateways that
// handled it and the agents of the endpoints that it reached had written shortly
// before: changes of the configuration and the versions, lost and regained
// sources, changes of those endpoints, loads.
package explainer
