// Package wire contains the messages between processes and the records of the platform's
// log. The code is generated from wire.proto.
package wire
