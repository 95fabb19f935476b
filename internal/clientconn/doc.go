// Package clientconn bounds what clients may take of a VM: connections, memory, and time. It carries out the decisions of package intake
// for the HTTP servers of a process.
//
// A Guard wraps listeners and handlers. Each connection is charged for its buffers, for the head and the body of its request, and for
// the response that it holds, until the next request. A client that may not have what it asks for is refused with 503 and when to come
// back; it has not run.
package clientconn
