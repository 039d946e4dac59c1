package serve

import "bytes"

// head counts the lines of a request's head, which is its request line and its header lines,
// as it arrives in parts.
type head struct {
	// bytes and lines are what has arrived of the head.
	bytes, lines int
	// ended is set once the empty line after the header lines has arrived.
	ended bool
	// started is set if the current line has a byte other than its line end.
	started bool
}

// add counts a part of a request and returns the number of its bytes and lines that belong to
// the head. Empty lines before the request line are not its end; the server skips some of them.
func (h *head) add(p []byte) (length, lines int) {
	before := h.lines
	for length < len(p) && !h.ended {
		i := bytes.IndexByte(p[length:], '\n')
		if i < 0 {
			h.continueLine(p[length:])
			length = len(p)
			break
		}
		h.continueLine(p[length : length+i])
		length += i + 1
		h.endLine()
	}
	h.bytes += length
	return length, h.lines - before
}

// continueLine adds a part of the current line, without its line feed.
func (h *head) continueLine(p []byte) {
	if len(p) > 1 || len(p) == 1 && p[0] != '\r' {
		h.started = true
	}
}

// endLine ends the current line.
func (h *head) endLine() {
	if !h.started && h.lines > 0 {
		h.ended = true
		return
	}
	if h.started {
		h.lines++
	}
	h.started = false
}
