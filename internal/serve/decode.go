package serve

import "context"

// smallBodyBytes is the largest body that is decoded without waiting. Callers send bodies of
// 1 to 6 KB.
const smallBodyBytes = 32 << 10

// Decode calls f, which decodes a body of the given size. Large bodies are decoded one at a
// time, because a decoded body may take many times its size. Decode returns the error of ctx if
// that ends before f is called.
func (g *Gate) Decode(ctx context.Context, size int, f func()) error {
	if size <= smallBodyBytes {
		f()
		return nil
	}
	select {
	case g.decoding <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-g.decoding }()
	f()
	return nil
}
