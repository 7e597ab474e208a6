package ports

import (
	"net"
	"testing"
)

// Guards against processes that take each other's ports, which happened to concurrent soak tests while a server restarted.
// Each allocator represents a process.
func TestNextAddress_ProcessesShareNoPort(t *testing.T) {
	var first, second allocator
	defer func() {
		for _, claim := range append(first.claims, second.claims...) {
			_ = claim.Close() // nothing was accepted
		}
	}()
	seen := map[string]bool{}
	for range 2 * blockSize {
		for _, a := range []*allocator{&first, &second} {
			address, err := a.nextAddress()
			if err != nil {
				t.Fatal(err)
			}
			if seen[address] {
				t.Fatalf("%s was allocated twice", address)
			}
			seen[address] = true
		}
	}
}

func TestListen_RestartsAtAddress(t *testing.T) {
	listener, err := Listen("")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	var again net.Listener
	if again, err = Listen(address); err != nil {
		t.Fatal(err)
	}
	if err := again.Close(); err != nil {
		t.Error(err)
	}
}
