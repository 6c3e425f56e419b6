// Package basis decides what a VM does with a message that rests on a configuration which the VM
// may not know yet. docs/design/old-state.md has the table of all messages.
package basis
