//go:build review

// Command rig plays the cases of the second review: it starts the programs of this repository with the
// commands of the deploy file, on loopback addresses, beside stand-ins of the platform.
//
// It exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// play is a case: it reports whether the rule was broken.
type play func(f *fleet, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "replica" {
		fmt.Fprintln(os.Stderr, runReplica(os.Args[2:]))
		os.Exit(2)
	}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(p play, record string) int {
	f, err := newFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.stop()
	ends := make(chan os.Signal, 1)
	signal.Notify(ends, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-ends
		f.note("ended by a signal")
		f.stop()
		os.Exit(2)
	}()
	broken, err := p(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case broken:
		f.note("the rule was broken")
		fmt.Println("the rule was broken")
		return 1
	}
	f.note("the rule held")
	fmt.Println("the rule held")
	return 0
}
