// Package recorder holds the domain types of the configuration and the records
// that carry their changes on the platform's log.
//
// A Record is the content of one append: an operation id, its author and one or
// more Changes that are applied atomically. The registrar package applies records
// in the order of their offsets. A Declaration is the file in which operators
// declare objects; it is converted to Changes. A Manifest describes the chunks of
// a version; the log holds only its digest.
//
// Every type is validated when it is decoded: unknown fields, unknown enumeration
// values and over-long input are rejected, and the error names the field.
package recorder
