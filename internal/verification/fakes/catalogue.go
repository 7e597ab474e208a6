package fakes

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// catalogueStream selects a random number stream for Catalogue that is independent of others with the same seed.
const catalogueStream = 0xca7a

// Function describes a function that workers can load. Times are in seconds.
type Function struct {
	Name        string
	MemoryMB    float64 // of one replica
	Concurrency int     // requests that a replica executes concurrently
	FetchTime   float64 // time to fetch the image from an idle store
	StartTime   float64 // time to start a replica from a fetched image
	MeanWork    float64 // mean execution time of a request on a core of speed 1
}

// Catalogue generates n functions from a seed, with sizes that are typical of a small site. work is the mean execution time
// of a request on a core of speed 1.
func Catalogue(n int, work float64, seed uint64) []Function {
	rng := rand.New(rand.NewPCG(seed, catalogueStream))
	list := make([]Function, n)
	for i := range list {
		loadTime := 0.12 + 0.1*rng.Float64()
		list[i] = Function{
			Name:        fmt.Sprintf("shop-%03d", i),
			MemoryMB:    200 + 600*rng.Float64(),
			Concurrency: 1 + rng.IntN(2),
			FetchTime:   loadTime * 0.7,
			StartTime:   loadTime * 0.3,
			MeanWork:    work * (0.6 + 0.8*rng.Float64()),
		}
	}
	return list
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
