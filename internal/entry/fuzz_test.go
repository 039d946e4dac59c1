package entry

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzJob guards against a panic, and against a job without tasks that reaches the dispatcher.
func FuzzJob(f *testing.F) {
	f.Add([]byte(`{"id":"01930000-0000-7000-8000-000000000000","kind":"k","tasks":[{"payload":1}],"timeout_ms":5}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		m := submit{}
		if parseJob(&m, body) == nil {
			require.NotEmpty(t, m.tasks)
			require.LessOrEqual(t, m.timeout, maxTimeoutMS)
		}
	})
}

// FuzzCallerHeaders guards against a panic, and against a timeout beyond its bound.
func FuzzCallerHeaders(f *testing.F) {
	f.Add([]byte("POST /v1/requests/k HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer t\r\nRequest-Timeout: 5\r\nIdempotency-Key: 7\r\n\r\n"))
	f.Fuzz(func(t *testing.T, head []byte) {
		r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil {
			return
		}
		m := submit{}
		if (&callerServer{}).parseHeaders(r, &m) == nil {
			require.LessOrEqual(t, m.timeout, maxTimeoutMS)
		}
	})
}
