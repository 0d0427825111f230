package bhcap

import "time"

// Class is how urgent a request is; lower ones go first. What is left after the recent demand
// of more urgent classes is granted to the others.
type Class int

const (
	// itemClass is that of the most urgent batch items, after all live requests.
	itemClass Class = 1 << 16
	// maxPriority bounds priorities, which other processes send.
	maxPriority = 1<<15 - 1
)

// LiveClass returns the class of live requests of the priority, of which 0 is the most urgent.
func LiveClass(priority int) Class { return Class(min(max(0, priority), maxPriority)) }

// ItemClass returns the class of batch items of the priority.
func ItemClass(priority int) Class { return itemClass + LiveClass(priority) }

// Ask asks for the right to send one request.
type Ask struct {
	Class Class
	// Patience is how long the request may wait until it is sent.
	Patience time.Duration
}
