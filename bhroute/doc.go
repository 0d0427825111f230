// Package bhroute chooses the upstream for each request from what one entry
// knows of its upstreams: reports that arrive late, requests that the entry sent
// or finished since, cached prefixes and failures. Package bhentry calls it;
// bhroute itself opens no connection and starts no goroutine.
package bhroute
