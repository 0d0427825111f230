package bhgate

import (
	"sync"
	"time"

	"github.com/baobabhaven/baobabhaven/bhadmit"
)

// serviceTimes holds how long answers of each service take, as this gateway
// observes them. It is safe for concurrent use.
type serviceTimes struct {
	mu        sync.Mutex
	byService map[string]*bhadmit.Times
}

func newServiceTimes() *serviceTimes {
	return &serviceTimes{byService: make(map[string]*bhadmit.Times)}
}

// of returns the times of the service; they are zero if none was observed.
func (s *serviceTimes) of(service string) bhadmit.Times {
	s.mu.Lock()
	defer s.mu.Unlock()
	if times := s.byService[service]; times != nil {
		return *times
	}
	return bhadmit.Times{}
}

// observe adds an answer that didn't wait for a slot.
func (s *serviceTimes) observe(service string, first, whole time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times := s.byService[service]
	if times == nil {
		times = &bhadmit.Times{}
		s.byService[service] = times
	}
	times.Observe(first, whole)
}
