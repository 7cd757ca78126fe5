package owner

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// defaultSeed is the seed of the property tests unless the environment sets one, so that
// they are reproducible.
const defaultSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	seed := os.Getenv("SAMPHIRERAIL_RAPID_SEED")
	if seed == "" {
		seed = defaultSeed
	}
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	fmt.Println("rapid seed", seed)
	goleak.VerifyTestMain(m)
}
