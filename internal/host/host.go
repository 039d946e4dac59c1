// Package host describes the running processes of the system and the machines they run on.
package host

import (
	"crypto/rand"
	"encoding/hex"
	"net/netip"

	"github.com/turmericbarrow/turmericbarrow/internal/zone"
)

// Role is the function of a process in the system.
type Role string

// The roles of a process.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Host is one running process and the machine it runs on.
type Host struct {
	// Name is unique within the deployment and is part of the host's certificate.
	Name string `json:"name"`
	// Incarnation is random and different at each start of the process. A process that
	// restarted with an old incarnation could start the request of an idempotency key a
	// second time.
	Incarnation string `json:"incarnation"`
	// Role never changes while the process runs.
	Role Role `json:"role"`
	// Location is taken from the settings of the process.
	Location zone.Location `json:"place"`
	// Address is the IP address and port at which other processes connect their links. It is
	// empty for a process that only dials.
	Address string `json:"address,omitempty"`
}

// incarnationBytes is large enough that a collision among all process starts of a deployment
// is improbable.
const incarnationBytes = 12

// NewIncarnation returns a new random incarnation ID.
func NewIncarnation() string {
	b := make([]byte, incarnationBytes)
	rand.Read(b)
	return hex.EncodeToString(b)
}

// ValidAddress reports whether address is an IP address with a port that a peer can listen on.
func ValidAddress(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
