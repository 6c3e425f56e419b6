// Package backpressure keeps what backend servers ask of their callers: the limits that they
// name in their responses, in requests per second of all VMs together, and the pauses that a
// server asks one VM for when it refuses a request.
//
// Each VM takes a share of a limit and mints tokens for single requests at that rate. A VM
// of a large fleet may have a token every few seconds only. If all VMs kept their unused
// tokens, they could spend them at the same moment, so tokens expire, and their sum in any
// window stays within a quarter above the limit.
//
// A limit ends with the first response that does not name it. A server that gets no request
// sends no response, so the rate never falls below Config.MinRate.
//
// Core is a pure state machine. Messages between VMs may be lost, duplicated or reordered.
package backpressure
