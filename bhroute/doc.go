// Package bhroute chooses the upstream for a request at an entry. It keeps what
// the entry knows of each upstream (reports that lag, work sent since, cached
// prefixes, failures) and decides from that alone: it opens no connection and
// starts no goroutine.
package bhroute
