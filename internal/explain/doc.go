// Package explain reconstructs the timeline of one request from the logs of several VMs:
// the decisions made for the request, and what the VMs logged meanwhile about the backend
// servers involved, in chronological order.
package explain
