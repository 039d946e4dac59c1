// Package wire holds the messages between processes and the records on the log,
// generated from wire.proto.
package wire
