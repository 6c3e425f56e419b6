package basis

// State is what a VM knows, or what a message rests on. The zero value means that it is not
// stated, as by earlier builds, or that no configuration is known yet.
type State struct {
	// Known is set if Version and Era are stated.
	Known bool
	// Version is the configuration's. VMs never go back to a lower one, also not with the store,
	// so versions are in order across eras.
	Version int64
	// Era is the store's, as the VM that states it knows it.
	Era uint64
}

// Relation is how what the receiver of a message knows relates to what the message rests on.
type Relation uint8

// The relations.
const (
	// Unstated: the message comes from a build that does not name what it rests on.
	Unstated Relation = iota
	// Same: both know the same version.
	Same
	// Newer: the receiver knows a newer version.
	Newer
	// Older: the receiver knows an older version, or none.
	Older
)

// Compare relates what a receiver knows to what a message rests on.
func Compare(known, message State) Relation {
	switch {
	case !message.Known:
		return Unstated
	case !known.Known || known.Version < message.Version:
		return Older
	case known.Version > message.Version:
		return Newer
	default:
		return Same
	}
}

// Action is what a receiver does with a message.
type Action struct {
	// Act is false if the message is refused at once, as not run, without any effect.
	Act bool
	// CatchUp is set if the receiver asks the sender for its configuration.
	CatchUp bool
}

// Message is a kind of message that rests on a configuration.
type Message uint8

// The kinds of messages.
const (
	// Request is a request that another VM passes on. It runs by the receiver's configuration.
	Request Message = iota
	// Response is the response to such a request. What it says has happened already.
	Response
)

// Decide returns what a VM that knows a state does with a message that rests on another one.
func Decide(kind Message, known, message State) Action {
	if Compare(known, message) != Older {
		return Action{Act: true}
	}
	return Action{Act: kind == Response, CatchUp: true}
}
