package swim

import "cmp"

// State is the state of a member in the view of another one.
type State uint8

// The states, in the order in which they override one another within one
// incarnation and refutation.
const (
	Alive State = iota
	Suspect
	Dead
	Left // announced by the member itself
)

var stateNames = [...]string{"alive", "suspect", "dead", "left"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// present reports whether a member in this state counts as part of the group. A
// suspected member does until it is declared dead.
func (s State) present() bool { return s == Alive || s == Suspect }

// Update is a statement about the state of a member, as sent between members.
// Updates about one member are ordered by incarnation, refutation and state. The
// highest one wins, regardless of the order in which updates arrive and of
// duplicates.
type Update struct {
	Name string `cbor:"1,keyasint"`
	// Addr is the host:port that the member advertises.
	Addr string `cbor:"2,keyasint,omitempty"`
	Zone string `cbor:"3,keyasint,omitempty"`
	// Incarnation identifies the process: a process started later under the same
	// name has a higher incarnation.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Refutation counts the suspicions that the process has refuted. It is what
	// the SWIM paper calls the incarnation number.
	Refutation uint32 `cbor:"5,keyasint,omitempty"`
	State      State  `cbor:"6,keyasint,omitempty"`
	// SuspectedBy is the member that suspects this one or declared it dead.
	SuspectedBy string `cbor:"7,keyasint,omitempty"`
	// Refused says that the suspicion is based on a refusal: the member's host
	// reported that no process listens at its address.
	Refused bool `cbor:"8,keyasint,omitempty"`
}

// overrides reports whether u takes precedence over v.
func (u Update) overrides(v Update) bool {
	return cmp.Or(
		cmp.Compare(u.Incarnation, v.Incarnation),
		cmp.Compare(u.Refutation, v.Refutation),
		cmp.Compare(u.State, v.State),
	) > 0
}

// validUpdate reports whether an update has its required fields and no field
// exceeds its bound.
func validUpdate(u Update) bool {
	return u.Name != "" && len(u.Name) <= maxStringBytes &&
		u.Addr != "" && len(u.Addr) <= maxStringBytes &&
		len(u.Zone) <= maxStringBytes &&
		u.State <= Left
}

// Kind is the type of a message.
type Kind uint8

// The kinds of messages. A message of an unknown kind is neither forwarded nor
// answered, but its updates are applied.
const (
	Gossip        Kind = iota // carries updates only
	Ping                      // requests an Ack
	Ack                       // answers the Ping with the same nonce
	PingReq                   // requests that the receiver ping Target and forward its Ack
	RosterRequest             // requests a Roster
	Roster                    // carries one page of the members that the sender knows, ordered by name
)

var kindNames = [...]string{"gossip", "ping", "ack", "ping-req", "roster-request", "roster"}

func (k Kind) String() string {
	if int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "unknown"
}

// Message is one message between members.
type Message struct {
	Kind Kind `cbor:"1,keyasint,omitempty"`
	// Self describes the sender.
	Self Update `cbor:"2,keyasint"`
	// To names the receiver; empty: any process that listens at the address.
	To    string `cbor:"3,keyasint,omitempty"`
	Nonce uint64 `cbor:"4,keyasint,omitempty"`
	// Target names the member that a PingReq asks the receiver to ping.
	Target  string   `cbor:"5,keyasint,omitempty"`
	Updates []Update `cbor:"6,keyasint,omitempty"`
	// ViewHash is a hash of the sender's view of all present members.
	ViewHash uint64 `cbor:"7,keyasint,omitempty"`
	// After says that the page of a RosterRequest or a Roster starts after this name.
	After string `cbor:"8,keyasint,omitempty"`
	// More says that another page follows this Roster.
	More bool `cbor:"9,keyasint,omitempty"`
}

// Envelope is an outgoing message with the advertised address of its receiver.
type Envelope struct {
	Addr    string
	Message *Message
}
