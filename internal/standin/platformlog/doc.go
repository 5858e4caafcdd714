// Package platformlog is the stand-in of the platform's append-only log.
//
// A stream is a row of records with offsets from 1, held in memory. An append
// adds one or more records, all or none. Old records leave the stream by age or
// by count; a read below the oldest is answered with 410 and the oldest offset.
// The wire format is in docs/design.md, section Messages; connector.NewLog is
// its client.
package platformlog
