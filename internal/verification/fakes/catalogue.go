package fakes

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// catalogueStream separates the random numbers of Catalogue from others of the same seed.
const catalogueStream = 0xca7a

// Function describes a function to the workers. Times are seconds.
type Function struct {
	Name        string
	MemoryMB    float64 // of one replica
	Concurrency int     // requests that a replica executes concurrently
	FetchTime   float64 // of a fetch from an idle store
	StartTime   float64 // from the fetched image to a ready replica
	MeanWork    float64 // of a request on a core of speed 1
}

// Catalogue draws n functions from a seed, with the sizes of a small site. work is the mean work of a request.
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
