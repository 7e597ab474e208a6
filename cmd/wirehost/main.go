// Command wirehost runs the decision module on the simulator's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"streamcleat/wire"
)

func main() {
	if err := wire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}
