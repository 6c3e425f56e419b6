// Package wire decodes CBOR messages of VMs that may run another build: fields that this build
// does not know are ignored, and a field that has another type is left out without the rest of
// the message. docs/design/compatibility.md lists the messages and their keys.
package wire
