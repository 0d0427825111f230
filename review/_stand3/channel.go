package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// channel is a client's channel, which it keeps.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(front string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// answer is what a client got.
type answer struct {
	id     string
	sentAt time.Time
	endAt  time.Time
	status int
	events int
	closes bool
	// whole reports that the answer was complete.
	whole bool
	err   error
}

// streamAs sends a request for a stream of tokens with the key, and reads the answer.
func (c *channel) streamAs(key, id, path string, tokens int) answer {
	result := answer{id: id, sentAt: time.Now()}
	_, result.err = fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: chat.example\r\nAuthorization: Token %s\r\nX-Request-Id: %s\r\n"+
		"X-Deadline-Ms: 5000\r\nX-Model: m\r\nX-Token-Count: 100,%d\r\nX-Prompt-Prefix: 5d07b8:50,%s:50\r\nContent-Length: 2\r\n\r\nhi", path, key, id, tokens, id)
	if result.err == nil {
		_ = c.conn.SetReadDeadline(time.Now().Add(6 * time.Second))
		var response *http.Response
		response, result.err = http.ReadResponse(c.reader, nil)
		if result.err == nil {
			result.status, result.closes = response.StatusCode, response.Close
			lines := bufio.NewScanner(response.Body)
			for lines.Scan() {
				if line := lines.Text(); len(line) > 3 && line[:3] == "id:" {
					result.events++
				}
			}
			result.err = lines.Err()
			_, _ = io.Copy(io.Discard, response.Body)
		}
	}
	result.endAt, result.whole = time.Now(), result.err == nil
	return result
}
