package bhbatch

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed and a bounded number of
// checks unless the command line does.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "20", "rapid.seed": "1"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}
