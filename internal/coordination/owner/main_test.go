package owner

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// defaultSeed makes the property tests repeat when the environment names none.
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
