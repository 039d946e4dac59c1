package link

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/turmericbarrow/turmericbarrow/internal/certs"
	"github.com/turmericbarrow/turmericbarrow/internal/clock"
	"github.com/turmericbarrow/turmericbarrow/internal/host"
	"github.com/turmericbarrow/turmericbarrow/internal/wire"
)

func helloReader(data []byte) *bufio.Reader {
	return bufio.NewReaderSize(bytes.NewReader(data), readBufferBytes)
}

// Guards against an unknown peer that makes the process allocate a frame of 16 MiB.
func TestFirstFrameIsBounded(t *testing.T) {
	_, err := readHello(helloReader(protowire.AppendVarint(nil, maxHelloBytes+1)))
	var tooLarge *protodelim.SizeTooLargeError
	require.ErrorAs(t, err, &tooLarge)
}

// Guards against memory exhaustion by peers that connect and never send a hello. Once they
// have been given up, a link is accepted again.
func TestConnectionsWithoutHelloAreBounded(t *testing.T) {
	tls, err := certs.SelfSignedTLSConfig("entry", host.RoleEntry, 3600*clock.Second)
	require.NoError(t, err)
	n := New(Settings{Self: host.Host{Name: "entry", Incarnation: "i", Role: host.RoleEntry}, Listen: "127.0.0.1:0", TLS: tls, IdleTimeout: 60_000},
		slog.New(slog.NewJSONHandler(io.Discard, nil)))
	n.pending = make(chan struct{}, 4)
	address, err := n.Open()
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	done := make(chan error, 1)
	go n.Run(ctx, done)
	for range cap(n.pending) {
		conn, err := quic.DialAddr(ctx, address, tls, nil)
		require.NoError(t, err)
		defer conn.CloseWithError(0, "")
	}
	require.Eventually(t, func() bool { return len(n.pending) == cap(n.pending) }, helloTimeout, time.Millisecond)
	_, err = quic.DialAddr(ctx, address, tls, nil)
	var refused *quic.TransportError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, quic.ConnectionRefused, refused.ErrorCode)
	require.Eventually(t, func() bool { return len(n.pending) == 0 }, 30*time.Second, 10*time.Millisecond)
	cancel()
	<-done
}

// FuzzHello guards against a panic, and against a hello that is larger than its bound.
func FuzzHello(f *testing.F) {
	var hello bytes.Buffer
	frame := &wire.Frame{Body: &wire.Frame_Hello{Hello: EncodeHost(host.Host{Name: "n", Incarnation: "i", Role: host.RoleAgent})}}
	_, err := protodelim.MarshalTo(&hello, frame)
	require.NoError(f, err)
	f.Add(hello.Bytes())
	f.Add(protowire.AppendVarint(nil, MaxFrameBytes))
	f.Fuzz(func(t *testing.T, data []byte) {
		hello, err := readHello(helloReader(data))
		if err == nil {
			DecodeHost(hello)
			require.LessOrEqual(t, len(hello.GetName()), maxHelloBytes)
		}
	})
}
