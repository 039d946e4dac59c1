// Package grant decides which process may start the submission that a key identifies.
// Only one incarnation may ever start a given key, so that a resubmission through any
// entry never starts it twice: a ticket contains that incarnation, and for a
// plain key, which is a UUID, the platform's log determines it. This guarantee depends
// on the order of the log and not on clocks. The package does no I/O.
package grant

import (
	"encoding/binary"
	"encoding/hex"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/turmericbarrow/turmericbarrow/internal/clock"
)

// RangeCount is the number of ranges into which keys are hashed. It is part of the log
// format and never changes within a deployment.
const RangeCount = 256

// Range is a hash partition of the keys, from 0 to RangeCount-1.
type Range uint32

// Key permanently identifies one submission.
type Key struct {
	// Text is the key that the caller sent, with a UUID in canonical form. It is empty
	// if there was no key.
	Text string
	// Time is the key time: the creation time that the key contains. It never changes.
	Time clock.Millis
	// Incarnation is the entry that issued the ticket; empty for a plain key.
	Incarnation string
}

// ErrMalformedKey is returned for a key that is neither a ticket nor a UUIDv7.
const ErrMalformedKey = errors.ConstError("malformed key")

// A ticket has four parts that are separated by dots: "t1", the incarnation, the key time in
// base 36 and a random number in hexadecimal.
const (
	ticketPrefix   = "t1."
	ticketParts    = 4
	ticketTimeBase = 36
	maxKeyBytes    = 128
)

// ParseKey parses a key, which is either a ticket or a UUID of version 7.
func ParseKey(text string) (Key, error) {
	if len(text) > maxKeyBytes {
		return Key{}, errors.Annotate(ErrMalformedKey, "longer than 128 bytes")
	}
	if strings.HasPrefix(text, ticketPrefix) {
		return parseTicket(text)
	}
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, errors.Annotate(ErrMalformedKey, "want a ticket or a UUID of version 7")
	}
	ms := binary.BigEndian.Uint64(id[:8]) >> 16
	return Key{Text: id.String(), Time: clock.Millis(ms)}, nil
}

func parseTicket(text string) (Key, error) {
	parts := strings.Split(text, ".")
	if len(parts) != ticketParts || parts[1] == "" || parts[3] == "" {
		return Key{}, errors.Annotate(ErrMalformedKey, "not a ticket")
	}
	ms, err := strconv.ParseInt(parts[2], ticketTimeBase, 64)
	if err != nil || ms < 0 {
		return Key{}, errors.Annotate(ErrMalformedKey, "not a ticket's time")
	}
	return Key{Text: text, Time: clock.Millis(ms), Incarnation: parts[1]}, nil
}

// NewTicket returns a new key that only the given incarnation may start.
func NewTicket(incarnation string, now clock.Millis) string {
	id := uuid.New()
	at := strconv.FormatInt(int64(now), ticketTimeBase)
	return strings.Join([]string{"t1", incarnation, at, hex.EncodeToString(id[:])}, ".")
}

// RangeOf returns the range of a customer's key.
func RangeOf(customer, key string) Range {
	d := xxhash.New()
	d.WriteString(customer)
	d.Write([]byte{0})
	d.WriteString(key)
	return Range(d.Sum64() % RangeCount)
}

// Preferred returns the incarnation that should hold the range, by rendezvous hashing.
// It returns an empty string if there are no incarnations.
func Preferred(r Range, incarnations []string) string {
	best, bestScore := "", uint64(0)
	for _, inc := range incarnations {
		score := xxhash.Sum64String(inc + "/" + strconv.Itoa(int(r)))
		if best == "" || score > bestScore || (score == bestScore && inc < best) {
			best, bestScore = inc, score
		}
	}
	return best
}
