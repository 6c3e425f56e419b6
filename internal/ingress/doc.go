// Package ingress bounds what the clients of a process's HTTP servers can take from it: the
// connections of each listener, and the time that a request may take to arrive. The decisions are
// those of connbudget; this package reads, writes and closes.
package ingress
