package serve

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against counting the lines of a body, and against headers that are taken for a body.
func TestHeadCountsHeaderLinesOnly(t *testing.T) {
	const want = "\r\nPOST / HTTP/1.1\r\nHost: q\r\na:\n b\r\nc: \r\n\r\n"
	request := want + "{\n\n\n}\n"
	for _, size := range []int{1, 2, 3, 7, len(request)} {
		h, length := head{}, 0
		for rest := request; len(rest) > 0; {
			part := rest[:min(size, len(rest))]
			rest = rest[len(part):]
			n, _ := h.add([]byte(part))
			length += n
		}
		require.Equal(t, len(want), length)
		require.Equal(t, 5, h.lines)
		require.True(t, h.ended)
	}
	h := head{}
	_, lines := h.add([]byte("GET / HTTP/1.1\n" + strings.Repeat("a:\n", 1000)))
	require.Equal(t, 1001, lines)
	require.False(t, h.ended)
}
