package bhlimit

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid, so that the result of a run depends
// on the code alone. BAOBAB_SEARCH=1 uses a random seed, and -rapid.seed=N
// repeats a run with the seed N.
func TestMain(m *testing.M) {
	flag.Parse()
	seedFlag := flag.Lookup("rapid.seed")
	if os.Getenv("BAOBAB_SEARCH") == "" && seedFlag != nil && seedFlag.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
