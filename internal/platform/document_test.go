package platform

import (
	"errors"
	"strings"
	"testing"
)

const document = `{"name":"n3","listen":"127.0.0.4:9090","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":256},
"peer_listen":"127.0.0.4:7946","peers":["127.3.0.1:7946"],"peers_all":"127.3.255.1:7946","journal":"127.2.0.1:4222",
"known":{"pos":3,"entries":[{"pos":3,"hosts":{"seq":7,"whole":true,"hosts":[]}}]},
"settings":{"Balancers":3,"Classes":[{"Name":"call","AimMs":1500,"GiveUpMs":4000,"Idempotency":"free"}]}}`

func TestReadDocument(t *testing.T) {
	doc, err := ReadDocument([]byte(document))
	if err != nil || doc.Seed != 0x8c1f30d27a5be964 || doc.MaxDescriptors != 256 || doc.Discovery.Position() != 3 || doc.Terms.Deployment().FrontEnds != 3 {
		t.Fatal(doc, err)
	}
	if _, err := ReadDocument([]byte("{")); err == nil {
		t.Error("truncated document was accepted")
	}
}

func TestReadDocument_ReportsInvalidField(t *testing.T) {
	for _, c := range []struct{ old, changed, field string }{
		{`"127.0.0.4:9090"`, `"x"`, "listen"},
		{`"127.2.0.1:4222"`, `""`, "journal"},
		{`"memory_mb":192`, `"memory_mb":0`, "limits/memory_mb"},
		{`"sockets":256`, `"sockets":-1`, "limits/sockets"},
		{`"free"`, `"odd"`, "settings"},
		{`"pos":3,"hosts"`, `"pos":"x","hosts"`, "known"},
		{`["127.3.0.1:7946"]`, `["y"]`, "peers/0"},
	} {
		t.Run(c.field, func(t *testing.T) {
			_, err := ReadDocument([]byte(strings.Replace(document, c.old, c.changed, 1)))
			var fieldErr *FieldError
			if !errors.As(err, &fieldErr) || fieldErr.Field != c.field || !strings.Contains(err.Error(), c.field+":") {
				t.Errorf("%s: %v", c.changed, err)
			}
		})
	}
}

func TestReadDocument_KeysAreCaseInsensitive(t *testing.T) {
	otherCase := strings.NewReplacer(`"name":"n3"`, `"Name":"n3"`, `"listen":`, `"Listen":`, `"seed":`, `"SEED":`).Replace(document)
	for _, text := range []string{document, otherCase} {
		doc, err := ReadDocument([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		if doc.Name != "n3" || doc.Listen != "127.0.0.4:9090" || doc.Seed != 0x8c1f30d27a5be964 || doc.PeerListen != "127.0.0.4:7946" ||
			len(doc.Peers) != 1 || doc.PeerBroadcast != "127.3.255.1:7946" || doc.DiscoveryAddress != "127.2.0.1:4222" || doc.MemoryMB != 192 || doc.MaxDescriptors != 256 {
			t.Errorf("%s:\n%+v", text, doc)
		}
	}
}
