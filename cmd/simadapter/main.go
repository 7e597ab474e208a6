// Command simadapter runs the routers of simulated front ends for the bench's simulator, which drives them over standard
// input and output. Package simadapter implements the protocol and owns the state.
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
