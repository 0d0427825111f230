package bhstand

import (
	"context"
	"encoding/json"
	"net/http"
	"time"
)

// reply answers with value as JSON.
func reply(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	send(w, data)
}

// send writes data. A failure means that the peer is gone, which the request's
// context shows.
func send(w http.ResponseWriter, data []byte) {
	_, _ = w.Write(data)
}

// pause waits and reports whether ctx is still valid.
func pause(ctx context.Context, wait time.Duration) bool {
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
