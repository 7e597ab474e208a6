package oci

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/opencontainers/go-digest"
	"pgregory.net/rapid"

	"streamcleat/internal/fakes"
	"streamcleat/internal/registry/signing"
)

func at(t *testing.T, r *fakes.Registry, most int64) (*Client, *Folder) {
	t.Helper()
	f, err := OpenFolder(t.TempDir(), most)
	if err != nil {
		t.Fatal(err)
	}
	c, err := NewClient(r.URL()+"/shops", "till", "secret", f)
	if err != nil {
		t.Fatal(err)
	}
	return c, f
}

func startRegistry(t *testing.T) *fakes.Registry {
	r := fakes.NewRegistry("till", "secret")
	t.Cleanup(r.Close)
	return r
}

var layer = bytes.Repeat([]byte("layer"), 2000)

func TestVersionsComeWithWhatTheFrontEndNeeds(t *testing.T) {
	r := startRegistry(t)
	d := r.Push("shops/tally", map[string]string{"org.opencontainers.image.version": "1.4.0", annotateLanes: "2", annotateMemory: "400",
		annotateLoad: "0.7", annotateTypes: "shop-event,till-entry"}, [][]byte{layer}, "current")
	c, _ := at(t, r, 1<<20)
	v, err := c.Resolve(context.Background(), "tally", "current")
	if err != nil || v.Digest != d || v.Name != "1.4.0" || v.Concurrency != 2 || v.MemoryMB != 400 || v.LoadTime != 0.7 || len(v.Classes) != 2 {
		t.Fatal(v, err)
	}
	r.Push("shops/tally", map[string]string{annotateLanes: "none"}, nil, "odd")
	for tag, want := range map[string]string{"odd": annotateLanes, "gone": "tally:gone"} {
		if _, err := c.Resolve(context.Background(), "tally", tag); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", tag, err)
		}
	}
	r.Untag("shops/tally", "current")
	if _, err := c.Resolve(context.Background(), "tally", "current"); err == nil {
		t.Error("a deleted tag still names something")
	}
	if held, err := c.Pull(context.Background(), "tally", d); err != nil || len(held) != 3 {
		t.Error("the version itself is there all the same: ", held, err)
	}
}

func TestFaultsOfTheRegistry(t *testing.T) {
	for _, c := range []struct {
		name                     string
		cut, wrong, fail, status int
		ok                       bool
	}{
		{"cut off twice", 2, 0, 0, 0, true},
		{"wrong content once", 0, 1, 0, 0, true},
		{"wrong content for good", 0, 1000, 0, 0, false},
		{"cut off for good", 1000, 0, 0, 0, false},
		{"too many requests", 0, 0, 2, 429, true},
		{"unavailable", 0, 0, 2, 503, true},
		{"broken for good", 0, 0, 1000, 500, false},
	} {
		r := startRegistry(t)
		d := r.Push("shops/tally", nil, [][]byte{layer}, "current")
		client, folder := at(t, r, 1<<20)
		r.Break(c.cut, c.wrong, c.fail, c.status)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		_, err := client.Pull(ctx, "tally", d)
		cancel()
		if (err == nil) != c.ok {
			t.Errorf("%s: %v", c.name, err)
		}
		if data, held := folder.Get(digest.FromBytes(layer)); held != c.ok || held && !bytes.Equal(data, layer) {
			t.Errorf("%s: layer held %v", c.name, held)
		}
	}
}

// Tokens that expire in the middle of a pull are asked for anew.
func TestExpiringTokens(t *testing.T) {
	r := startRegistry(t)
	r.Tokens(2)
	d := r.Push("shops/tally", nil, [][]byte{layer, []byte("a"), []byte("b"), []byte("c")}, "current")
	c, _ := at(t, r, 1<<20)
	if held, err := c.Pull(context.Background(), "tally", d); err != nil || len(held) != 6 {
		t.Error(held, err)
	}
	if r.Issued() < 3 {
		t.Errorf("%d tokens for seven requests, each good for two", r.Issued())
	}
}

func TestLayersAreFetchedOnceAndShared(t *testing.T) {
	r := startRegistry(t)
	a := r.Push("shops/tally", map[string]string{"v": "1"}, [][]byte{layer, []byte("one")})
	b := r.Push("shops/tally", map[string]string{"v": "2"}, [][]byte{layer, []byte("two")})
	c, f := at(t, r, 1<<20)
	for range 3 {
		for _, d := range []digest.Digest{a, b} {
			if _, err := c.Pull(context.Background(), "tally", d); err != nil {
				t.Fatal(err)
			}
		}
	}
	if want := int64(len(layer) + len("one") + len("two") + len("{}")); c.Fetched != want {
		t.Errorf("%d bytes fetched, whole copies each time are %d, each layer once is %d", c.Fetched, 6*len(layer), want)
	}
	r.Close() // unreachable: what is held still serves
	if _, err := c.Pull(context.Background(), "tally", a); err != nil {
		t.Error(err)
	}
	// What turns wrong on disk is never handed out; a scrub finds it.
	d := digest.FromBytes(layer)
	if err := os.WriteFile(f.path(d), []byte("rot"), 0o640); err != nil {
		t.Fatal(err)
	}
	found := false
	for {
		checked, right := f.Scrub(0)
		if checked == d {
			found = !right
			break
		}
	}
	if _, held := f.Get(d); held || !found {
		t.Error("rotten content is held")
	}
	if err := f.Put(d, []byte("rot")); !errors.Is(err, ErrWrong) {
		t.Error(err)
	}
}

func TestFolderIsBoundAndReopened(t *testing.T) {
	dir := t.TempDir()
	f, err := OpenFolder(dir, 100)
	if err != nil {
		t.Fatal(err)
	}
	put := func(text string, n int) digest.Digest {
		data := bytes.Repeat([]byte(text), n)
		if err := f.Put(digest.FromBytes(data), data); err != nil {
			t.Fatal(err)
		}
		return digest.FromBytes(data)
	}
	a, b := put("a", 40), put("b", 40)
	f.Pin([]digest.Digest{a})
	put("c", 50)
	if _, held := f.Get(b); held || f.Size() != 90 {
		t.Error("the unpinned one had to go: ", f.Size())
	}
	if err := f.Put(digest.FromBytes(make([]byte, 70)), make([]byte, 70)); err == nil {
		t.Error("pinned content went")
	}
	if f, err = OpenFolder(dir, 100); err != nil || f.Size() != 90 {
		t.Error(err, f.Size())
	}
	if _, held := f.Get(a); !held {
		t.Error("lost over a restart")
	}
}

// The bound holds whatever comes, pinned content never goes, and what goes is the longest unused.
func TestKeepModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := NewKeep(100)
		type item struct {
			size int64
			used float64
			pin  bool
		}
		model := map[digest.Digest]*item{}
		for now := 1.0; now < 60; now++ {
			d := digest.FromString(string(rune('a' + rapid.IntRange(0, 9).Draw(t, "content"))))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				size := int64(rapid.IntRange(1, 60).Draw(t, "size"))
				if model[d] != nil {
					size = model[d].size
				}
				gone, ok := k.Add(d, size, now)
				newest := 0.0
				for _, g := range gone {
					if model[g] == nil || model[g].pin {
						t.Fatal("pinned or unknown content went")
					}
					newest = max(newest, model[g].used)
					delete(model, g)
				}
				for _, left := range model {
					if len(gone) > 0 && !left.pin && left.used < newest {
						t.Fatal("something used longer ago stayed")
					}
				}
				if ok && model[d] == nil {
					model[d] = &item{size: size}
				}
				if ok {
					model[d].used = now
				}
			case 2:
				if k.Has(d, now) != (model[d] != nil) {
					t.Fatal("has")
				}
				if model[d] != nil {
					model[d].used = now
				}
			case 3:
				k.Pin([]digest.Digest{d})
				for x, i := range model {
					i.pin = x == d
				}
			}
			sum := int64(0)
			for _, i := range model {
				sum += i.size
			}
			if sum != k.Size() || sum > 100 {
				t.Fatalf("%d bytes, the model has %d", k.Size(), sum)
			}
		}
	})
}

func TestReferrersOfAVersion(t *testing.T) {
	r := startRegistry(t)
	d := r.Push("shops/tally", nil, [][]byte{layer}, "current")
	c, _ := at(t, r, 1<<20)
	if list, err := c.Signatures(context.Background(), "tally", d); err != nil || len(list) != 0 {
		t.Error(list, err)
	}
	r.Attach(d, signing.PayloadType, signing.EnvelopeType, []byte("envelope"))
	r.Attach(d, signing.PayloadType, "text/plain", []byte("something else"))
	r.Attach(d, "application/vnd.other", signing.EnvelopeType, []byte("another artifact"))
	if list, err := c.Signatures(context.Background(), "tally", d); err != nil || len(list) != 1 || string(list[0]) != "envelope" {
		t.Errorf("%q %v", list, err)
	}
	r.Break(0, 0, 1000, 500)
	if _, err := c.Signatures(context.Background(), "tally", d); err == nil {
		t.Error("a registry in trouble passes for one without signatures")
	}
}

// Ten minutes without registry, on a virtual clock: each pull gives up in bounded time, what is held serves, and the
// first pull after it succeeds.
func TestTenMinutesWithoutRegistry(t *testing.T) {
	r := startRegistry(t)
	d, next := r.Push("shops/tally", map[string]string{"v": "1"}, [][]byte{layer}), r.Push("shops/tally", map[string]string{"v": "2"}, [][]byte{[]byte("two")})
	c, _ := at(t, r, 1<<20)
	synctest.Test(t, func(t *testing.T) {
		began, tries := time.Now(), 0
		gone := true
		c.over(func(req *http.Request) (*http.Response, error) { // handed to the stand-in in place of a connection
			if gone {
				tries++
				return nil, syscall.ECONNREFUSED
			}
			w := httptest.NewRecorder()
			r.ServeHTTP(w, req)
			resp := w.Result()
			resp.Request = req
			return resp, nil
		})
		gone = false
		if _, err := c.Pull(t.Context(), "tally", d); err != nil {
			t.Fatal(err)
		}
		for gone = true; time.Since(began) < 10*time.Minute; time.Sleep(20 * time.Second) {
			at := time.Now()
			if _, err := c.Pull(t.Context(), "tally", next); !errors.Is(err, syscall.ECONNREFUSED) {
				t.Fatal(err)
			}
			if took := time.Since(at); took > 10*time.Second {
				t.Fatalf("a pull took %v to give up", took)
			}
			if _, err := c.Pull(t.Context(), "tally", d); err != nil {
				t.Fatal("what is held does not serve: ", err)
			}
		}
		gone = false
		if held, err := c.Pull(t.Context(), "tally", next); err != nil || len(held) != 3 {
			t.Error(held, err)
		}
		t.Logf("%d requests refused in %v", tries, time.Since(began))
	})
}
