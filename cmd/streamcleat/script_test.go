package main

import (
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) { testscript.Main(m, map[string]func(){"streamcleat": main}) }

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: func(e *testscript.Env) error {
		e.Setenv("FRONT", freeAddress(t))
		return nil
	}})
}
