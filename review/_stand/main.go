// Command reviewstand plays the scripted cases of the review: it starts the deployed
// programs as processes on loopback addresses, over stand-ins for the platform's store,
// the workers and the clients, and judges what those see.
//
//	reviewstand CASE DIRECTORY
//
// It writes DIRECTORY/record.txt. The exit status is 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 in the environment the disruption
// is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scenario plays one case. It returns the breaches of the rule, and an error if the case
// could not run.
type scenario func(f *fleet, trouble bool) (breaches []string, err error)

var scenarios = map[string]scenario{
	"late-crash":   playLateCrash,
	"lost-worker":  playLostWorker,
	"lost-reply":   playLostReply,
	"nested-route": playNestedRoute,
	"smuggle":      playSmuggle,
	"split-stream": playSplitStream,
	"object-names": playObjectNames,
}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewstand CASE DIRECTORY")
		os.Exit(exitFailed)
	}
	os.Exit(run(scenarios[os.Args[1]], os.Args[2]))
}

func run(play scenario, directory string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	log, err := newRecord(filepath.Join(directory, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer log.close()
	f, err := newFleet(log)
	if err != nil {
		log.note("could not run: %v", err)
		return exitFailed
	}
	defer f.close()
	log.note("disruption: %v", trouble)
	breaches, err := play(f, trouble)
	if err == nil {
		err = f.unexpectedEnd()
	}
	if err != nil {
		log.note("could not run: %v", err)
		return exitFailed
	}
	for _, breach := range breaches {
		log.note("BROKEN: %s", breach)
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	log.note("the rule held")
	return exitHeld
}
