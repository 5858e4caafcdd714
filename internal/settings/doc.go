// Package settings defines the flags of the programs and validates their values.
//
// Every setting is a flag and an environment variable with the same name. A
// Faults value collects all invalid settings, so that a program reports them in
// one message before it starts and exits with code 2.
package settings
