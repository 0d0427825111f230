// Package bhguard bounds what callers can make a process hold before and while it works for
// them: connections, and memory for the heads of requests. It decides which connections end
// to make room for others, without sockets or goroutines. Listeners of bhserve ask it.
package bhguard

const (
	// GuaranteedHead is the memory that the head of each request may take, in bytes, however
	// full the pool is. A head of a hundred fields takes less.
	GuaranteedHead = 16 << 10
	// ReadBuffer is the size of the kernel's buffer for bytes of a connection that the process
	// hasn't read, in bytes.
	ReadBuffer = 16 << 10
	// workMemory is what a request in flight takes besides, with its connection to an upstream.
	workMemory = 16 << 10
	// connMemory is what one connection may take without more from the pool, in bytes.
	connMemory = GuaranteedHead + ReadBuffer + workMemory
	// connShare, headShare, bodyShare and answerShare are the parts of a process's memory, as their
	// inverse, for connections, for heads beyond GuaranteedHead, for bodies and unread answers, and
	// for answers that upstreams have begun. The rest is for the process itself and for memory that
	// isn't collected yet.
	connShare   = 4
	headShare   = 8
	bodyShare   = 4
	answerShare = 24
	// callerShare, peerShare and operatorShare are the parts of the sockets, as their inverse, for
	// connections of callers, of the fleet's other processes, and for checks and metrics. The rest
	// is for connections that the process opens, which are one to an upstream for each caller at
	// most, and those to the platform.
	callerShare   = 3
	peerShare     = 4
	operatorShare = 16
	// minOperators is enough for the checks and the collectors of metrics of one process.
	minOperators = 16
	// reservedFiles is how many descriptors are kept for files.
	reservedFiles = 200
	// leastPart is the least part of the descriptors, as its inverse, that is left for sockets if
	// they are few.
	leastPart = 2
)

// Machine is what a process may use.
type Machine struct {
	// Memory is in bytes.
	Memory int64
	// Descriptors is the largest number of open files.
	Descriptors int
}

// Limits are the bounds of what callers can make a process hold.
type Limits struct {
	// Callers, Peers and Operators bound the connections at the port for callers' requests, at
	// that for links and at each other port.
	Callers   int
	Peers     int
	Operators int
	// Heads bounds the memory for heads beyond GuaranteedHead each, Bodies that for bodies and
	// unread answers, in bytes.
	Heads  int64
	Bodies int64
	// Answers bounds the memory, in bytes, for what upstreams have sent of heads, events and
	// answers that aren't passed on yet, beyond a part of its own for each.
	Answers int64
}

// Limits derives the limits of a process from those of its machine.
func (m Machine) Limits() Limits {
	sockets := max(m.Descriptors-reservedFiles, m.Descriptors/leastPart)
	byMemory := int(m.Memory / connShare / connMemory)
	return Limits{
		Callers:   max(1, min(sockets/callerShare, byMemory)),
		Peers:     max(minOperators, min(sockets/peerShare, byMemory)),
		Operators: max(minOperators, min(sockets/operatorShare, byMemory/operatorShare)),
		Heads:     m.Memory / headShare,
		Bodies:    m.Memory / bodyShare,
		Answers:   m.Memory / answerShare,
	}
}
