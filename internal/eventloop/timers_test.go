package eventloop

import (
	"testing"
	"time"
)

func TestEarlier_IgnoresZeroTime(t *testing.T) {
	first, second := time.Unix(1, 0), time.Unix(2, 0)
	for _, c := range []struct {
		name       string
		a, b, want time.Time
	}{
		{"none set", time.Time{}, time.Time{}, time.Time{}},
		{"only first set", first, time.Time{}, first},
		{"only second set", time.Time{}, first, first},
		{"first earlier", first, second, first},
		{"second earlier", second, first, first},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := earlier(c.a, c.b); !got.Equal(c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
