package bhguard

import "net/http"

const (
	// lineCost is the memory that http.Server takes for one field, beyond its bytes.
	lineCost = 96
	// byteCopies is how often the bytes of a head are in memory while it is read.
	byteCopies = 2
)

// Meter estimates the memory that the head of a request takes from the bytes that arrive.
type Meter struct {
	// Bytes is the size of the head so far.
	Bytes int64

	// lineBytes is the length of the present line, begun is set after the first line that isn't
	// empty, and ended after the empty line that ends the head.
	lineBytes int64
	begun     bool
	ended     bool
}

// Add returns the memory that the next bytes take. What follows the head takes none.
func (m *Meter) Add(data []byte) int64 {
	var cost int64
	for _, b := range data {
		if m.ended {
			break
		}
		m.Bytes++
		cost += byteCopies
		switch b {
		case '\r':
		case '\n':
			cost += lineCost
			m.ended = m.begun && m.lineBytes == 0
			m.begun = m.begun || m.lineBytes > 0
			m.lineBytes = 0
		default:
			m.lineBytes++
		}
	}
	return cost
}

// CopyCost estimates the memory of one more copy of the request's head.
func CopyCost(r *http.Request) int64 {
	cost := int64(len(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			cost += lineCost + int64(len(name)+len(value))
		}
	}
	return cost
}

// HeadBytes returns the least size in which the request's head can have been sent, without what
// the server took from it.
func HeadBytes(r *http.Request) int64 {
	const separators = int64(len(":\r\n"))
	size := int64(len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + len("\r\n"))
	size += int64(len("Host")+len(r.Host)) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += int64(len(name)+len(value)) + separators
		}
	}
	return size
}
