// Command simadapter runs the decision module on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"streamcleat/internal/simadapter"
)

func main() {
	if err := simadapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}
