// Command simadapter serves the simulator of the bench on standard input and output: it hosts the routers of simulated
// front ends.
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
