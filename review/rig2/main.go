//go:build review

package main

import (
	"fmt"
	"os"
	"runtime"
)

// cases maps the names of the cases to what they play. Each file of a case adds its own.
var cases = map[string]func(r *rig) error{}

func main() {
	runtime.LockOSThread() // the front ends end with the thread that started them
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(2)
	}
	r, err := newRig(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(r.finish(cases[os.Args[1]](r)))
}
