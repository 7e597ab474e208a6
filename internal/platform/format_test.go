package platform

import (
	"strings"
	"testing"
)

// The head of the machine's document is read whatever the case of its keys.
func TestHeadOfTheDocument(t *testing.T) {
	other := strings.NewReplacer(`"name":"n3"`, `"Name":"n3"`, `"listen":`, `"Listen":`, `"seed":`, `"SEED":`).Replace(document)
	for _, text := range []string{document, other} {
		m, err := ReadDocument([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if m.Name != "n3" || m.Listen != "127.0.0.4:9090" || m.Seed != 0x8c1f30d27a5be964 || m.PeerListen != "127.0.0.4:7946" ||
			len(m.Peers) != 1 || m.PeerBroadcast != "127.3.255.1:7946" || m.DiscoveryAddress != "127.2.0.1:4222" || m.MemoryMB != 192 || m.MaxDescriptors != 256 {
			t.Errorf("%s:\n%+v", text, m)
		}
	}
}
