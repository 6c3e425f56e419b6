// Package ingress bounds what the clients of a process's HTTP servers can take from it: the
// connections of each listener, the time that a request may take to arrive, and the memory of the
// bodies of all requests and responses together. The decisions are those of connbudget and
// bodybudget; this package reads, writes and closes.
//
// A server uses a Listener with a Table, RecordState as its ConnState, RefuseUnread as its
// ErrorHandler and, if its requests have bodies, StreamRequestBody with StreamedPrefetch. Its
// handler calls Bodies.Receive or, without bodies, Received before it serves a request, and
// Bodies.Hold with the size of a response.
package ingress
