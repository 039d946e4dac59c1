// Package pqueue implements a priority queue whose nodes can be reordered and removed.
package pqueue

import "container/heap"

// Node is an element of a Queue. A node is in at most one queue at a time.
type Node[T any] struct {
	Value T
	// Key determines the order; the node with the lowest key comes first.
	Key float64
	// index is the position in the queue's heap plus one, or zero if the node is not
	// queued.
	index int
}

// Queued reports whether n is in a queue.
func (n *Node[T]) Queued() bool {
	return n.index > 0
}

// Queue orders nodes by key. The zero value is an empty queue.
type Queue[T any] struct {
	nodes nodes[T]
}

// Len returns the number of nodes.
func (q *Queue[T]) Len() int {
	return len(q.nodes)
}

// Set inserts n with the given key, or changes its key if it is already queued.
func (q *Queue[T]) Set(n *Node[T], key float64) {
	n.Key = key
	if n.Queued() {
		heap.Fix(&q.nodes, n.index-1)
		return
	}
	heap.Push(&q.nodes, n)
}

// Remove removes n from the queue. It does nothing if n is not queued.
func (q *Queue[T]) Remove(n *Node[T]) {
	if n.Queued() {
		heap.Remove(&q.nodes, n.index-1)
	}
}

// Min returns the node with the lowest key, or nil if the queue is empty.
func (q *Queue[T]) Min() *Node[T] {
	if len(q.nodes) == 0 {
		return nil
	}
	return q.nodes[0]
}

// nodes implements heap.Interface.
type nodes[T any] []*Node[T]

func (ns nodes[T]) Len() int           { return len(ns) }
func (ns nodes[T]) Less(i, j int) bool { return ns[i].Key < ns[j].Key }

func (ns nodes[T]) Swap(i, j int) {
	ns[i], ns[j] = ns[j], ns[i]
	ns[i].index = i + 1
	ns[j].index = j + 1
}

func (ns *nodes[T]) Push(x any) {
	n := x.(*Node[T])
	*ns = append(*ns, n)
	n.index = len(*ns)
}

func (ns *nodes[T]) Pop() any {
	old := *ns
	n := old[len(old)-1]
	old[len(old)-1] = nil
	*ns = old[:len(old)-1]
	n.index = 0
	return n
}
