package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"streamcleat": main}) }

// Runs the scripts in testdata; FRONT is a free address for a front end.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		e.Setenv("FRONT", freeAddress(t))
		return nil
	}})
}
