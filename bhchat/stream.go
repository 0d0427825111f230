package bhchat

import (
	"bytes"
	"unicode/utf8"

	"github.com/goccy/go-json"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Syntax of the event stream.
const (
	eventPrefix = "data: "
	eventEnd    = "\n\n"
	doneMarker  = "[DONE]"

	// DoneEvent is the event that ends a stream of chunks.
	DoneEvent = eventPrefix + doneMarker + eventEnd

	maxLineBytes = 1 << 20
)

// Decoder decodes an engine's event stream into chunks. The stream may be fed to
// it in pieces of any size.
type Decoder struct {
	// pending holds the bytes after the last complete line.
	pending []byte
	done    bool
}

// Feed appends the next bytes of the stream and returns the chunks that they
// complete. If an event is malformed, not UTF-8 or no chunk, such as an error, or a line without an
// end exceeds 1 MiB, it returns the chunks before the fault and an error with the code
// bhcode.UpstreamFailed.
func (d *Decoder) Feed(data []byte) ([]Chunk, error) {
	d.pending = append(d.pending, data...)
	var chunks []Chunk
	for {
		line, rest, found := bytes.Cut(d.pending, []byte("\n"))
		if !found {
			break
		}
		d.pending = rest
		chunk, ok, err := d.parseLine(line)
		if err != nil {
			return chunks, err
		}
		if ok {
			chunks = append(chunks, chunk)
		}
	}
	if len(d.pending) > maxLineBytes {
		return chunks, bhcode.New(bhcode.UpstreamFailed, "event of over %d bytes", maxLineBytes).WithRan(bhcode.RanYes)
	}
	return chunks, nil
}

// Pending returns how many bytes of a line without an end the decoder holds.
func (d *Decoder) Pending() int { return len(d.pending) }

// Done reports whether the end marker of the stream was received.
func (d *Decoder) Done() bool { return d.done }

// parseLine decodes one line without its newline. It returns false for a line
// without data and for the end marker.
func (d *Decoder) parseLine(line []byte) (Chunk, bool, error) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	data, found := bytes.CutPrefix(line, []byte("data:"))
	if !found {
		return Chunk{}, false, nil
	}
	data = bytes.TrimSpace(data)
	if string(data) == doneMarker {
		d.done = true
		return Chunk{}, false, nil
	}
	var chunk Chunk
	if !utf8.Valid(data) {
		return Chunk{}, false, bhcode.New(bhcode.UpstreamFailed, "an event that is not UTF-8").WithRan(bhcode.RanYes)
	}
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Chunk{}, false, bhcode.Wrap(err, bhcode.UpstreamFailed, "malformed event").WithRan(bhcode.RanYes)
	}
	if len(chunk.Error) > 0 && string(chunk.Error) != "null" {
		return Chunk{}, false, bhcode.New(bhcode.UpstreamFailed, "an event with an error").WithRan(bhcode.RanYes)
	}
	if chunk.Choices == nil && chunk.Usage == nil {
		return Chunk{}, false, bhcode.New(bhcode.UpstreamFailed, "an event without choices or usage instead of a chunk").WithRan(bhcode.RanYes)
	}
	chunk.Raw = data
	return chunk, true, nil
}
