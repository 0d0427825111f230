// Command stand3 plays the cases of the third review: it starts the project's programs as separate
// processes beside stand-ins for the platform's store, workers and clients.
//
//	stand3 CASE RECORD
//
// It exits with 1 if the case's rule was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases returns whether the rule of each case was broken.
var cases = map[string]func(f *Fleet, trouble bool) (bool, error){
	"starve": starve,
	"ended":  ended,
	"gone":   gone,
	"mass":   mass,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, record string) int {
	f, err := NewFleet(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer f.Close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		f.Close()
		os.Exit(2)
	}()
	broken, err := cases[name](f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.Logf("couldn't run: %v", err)
		return 2
	case broken:
		f.Logf("verdict: the rule was broken")
		return 1
	}
	f.Logf("verdict: the rule held")
	return 0
}
