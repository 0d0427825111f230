package bhchat

import (
	"bytes"

	"github.com/goccy/go-json"

	"github.com/baobabhaven/baobabhaven/bhcode"
)

// Parts of the event stream's syntax.
const (
	eventPrefix = "data: "
	eventEnd    = "\n\n"
	doneText    = "[DONE]"

	// DoneEvent ends a stream of chunks.
	DoneEvent = eventPrefix + doneText + eventEnd

	maxLine = 1 << 20
)

// Decoder splits an engine's event stream, which may arrive in pieces of any
// size, into chunks.
type Decoder struct {
	rest []byte
	done bool
}

// Feed takes the next bytes of the stream and returns the chunks they
// complete. Errors carry UpstreamFailed.
func (d *Decoder) Feed(data []byte) ([]Chunk, error) {
	d.rest = append(d.rest, data...)
	var chunks []Chunk
	for {
		line, rest, found := bytes.Cut(d.rest, []byte("\n"))
		if !found {
			break
		}
		d.rest = rest
		chunk, ok, err := d.line(line)
		if err != nil {
			return chunks, err
		}
		if ok {
			chunks = append(chunks, chunk)
		}
	}
	if len(d.rest) > maxLine {
		return chunks, bhcode.New(bhcode.UpstreamFailed, "event of over %d bytes", maxLine)
	}
	return chunks, nil
}

// Done reports whether the stream's end marker was seen.
func (d *Decoder) Done() bool { return d.done }

func (d *Decoder) line(line []byte) (Chunk, bool, error) {
	line = bytes.TrimSuffix(line, []byte("\r"))
	data, found := bytes.CutPrefix(line, []byte("data:"))
	if !found {
		return Chunk{}, false, nil
	}
	data = bytes.TrimSpace(data)
	if string(data) == doneText {
		d.done = true
		return Chunk{}, false, nil
	}
	var chunk Chunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return Chunk{}, false, bhcode.Wrap(err, bhcode.UpstreamFailed, "malformed event")
	}
	chunk.Raw = data
	return chunk, true, nil
}
