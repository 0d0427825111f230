package main

import (
	"net/http"
	"strings"
	"time"
)

const (
	upgradeEngines = 6
	upgradeJobs    = 8
	upgradeItems   = 24
	// upgradeOutput makes an item run for about two seconds.
	upgradeOutput = 900
	// upgradeCount workers are restarted with other software, one after the other.
	upgradeCount = 2
	upgradeGap   = 4 * time.Second
	upgradeDown  = 1500 * time.Millisecond
)

// playUpgrade submits batch jobs and reads their results. With trouble, some workers end meanwhile
// and start again with newer software under their names.
func playUpgrade(w *world, trouble bool) int {
	w.configure()
	var engines []*engine
	for number := range upgradeEngines {
		engines = append(engines, w.addEngine(number+1, service))
	}
	front := w.addGateway(1)
	w.waitReady(front)
	time.Sleep(3 * time.Second)
	var jobs []string
	for range upgradeJobs {
		job := newID()
		if !w.submit(front, job, newItems(upgradeItems, upgradeOutput)) {
			w.fail("job %s isn't accepted", job)
		}
		jobs = append(jobs, job)
	}
	for _, e := range engines[:upgradeCount] {
		time.Sleep(upgradeGap)
		if trouble {
			w.note("worker %s ends", e.id)
			e.restart(w, w.servers[e], "v2", upgradeDown)
			w.note("worker %s has started again with v2", e.id)
		}
	}
	time.Sleep(30 * time.Second)
	joined, listed := 0, 0
	for _, job := range jobs {
		position := 0
		for range 100 {
			got, status := read(front, job, position)
			if status != http.StatusOK || got.Next == position {
				break
			}
			for _, result := range got.Results {
				listed++
				if result.State == "completed" && strings.Contains(result.Text, "v1-") && strings.Contains(result.Text, "v2-") {
					joined++
					w.note("client: item %s of job %s is completed with %d events of v1 and %d of v2", result.ID, job,
						strings.Count(result.Text, "v1-"), strings.Count(result.Text, "v2-"))
				}
			}
			position = got.Next
		}
		w.note("client: job %s is read: %d items are listed", job, position)
	}
	for _, a := range w.seen() {
		w.note("worker %s: at %.3f s item %s, after event %q, refused %v, complete %v", a.Worker, a.At.Sub(w.start).Seconds(), a.Item, a.Resumed, a.Refused, a.Complete)
	}
	w.note("result: %d of %d listed items are joined from two versions", joined, listed)
	if joined > 0 {
		return exitBroken
	}
	return exitHeld
}
