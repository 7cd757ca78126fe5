package cell_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// defaultSeed makes every run of the property tests the same.
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
	fmt.Println("rapid seed:", seed)
	os.Exit(m.Run())
}
