package bhstand

import (
	"encoding/json"
	"net/http"
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
