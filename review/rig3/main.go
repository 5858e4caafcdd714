//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	cases := map[string]func(*record, bool) (int, error){"rollback": rollback, "moved": moved, "inventory": inventory, "deadly": deadly}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE FOLDER")
		os.Exit(failed)
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	r := &record{out: out, began: time.Now()}
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		code = failed
		r.add("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	r.add("exit code %d", code)
	_ = out.Close()
	os.Exit(code)
}
