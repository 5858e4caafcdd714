// Package checker examines a configuration before operators publish it.
//
// A Document is a configuration with the positions of its entries in the file and
// the errors for which a gateway would refuse it. Checker.Check adds findings about a
// configuration that a gateway would accept: entries that no request can match, by
// the matcher of package resolver, and limits that contradict each other. Compare
// returns the differences from the active configuration. The package reads no files
// and knows nothing of the format of the record.
package checker
