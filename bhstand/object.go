package bhstand

import (
	"io"
	"net/http"
	"strconv"
)

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request, name string) {
	switch r.Method {
	case http.MethodPut:
		data, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.mu.Lock()
		p.objects[name] = data
		p.mu.Unlock()
		p.count(func(c *Counts) { c.Puts++; c.Written += int64(len(data)) })
	case http.MethodDelete:
		p.mu.Lock()
		delete(p.objects, name)
		p.mu.Unlock()
	default:
		p.serveObjectGet(w, r, name)
	}
}

func (p *Platform) serveObjectGet(w http.ResponseWriter, r *http.Request, name string) {
	p.mu.Lock()
	data, ok := p.objects[name]
	p.mu.Unlock()
	if !ok {
		http.Error(w, name, http.StatusNotFound)
		return
	}
	offset, err := strconv.ParseInt(r.URL.Query().Get("offset"), 10, 64)
	if err != nil || offset < 0 {
		offset = 0
	}
	data = data[min(offset, int64(len(data))):]
	p.count(func(c *Counts) { c.Reads++; c.Read += int64(len(data)) })
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	send(w, data)
}
