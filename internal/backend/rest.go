package backend

import "time"

const (
	// restTime is how long a connection that has answered is left alone, so that a second answer to the same command comes
	// while no other command is out on it. Seen: second answers 1.2 to 8.4 ms late.
	restTime = 15 * time.Millisecond
	// cleanRests is after how many rests without a second answer a node counts as one that sends none: of a node that answers
	// one command in 100 twice, 1 in 23,000 would pass.
	cleanRests = 1000
	// secondMemory is for how long a node that has sent a second answer counts as one that does.
	secondMemory = 5 * time.Minute
)

// rested says whether a second answer to what the connection has carried would have come by now.
func (c *conn) rested(now time.Duration) bool { return !c.used || now-c.since >= restTime }

// secondAnswers is what is known of whether a node answers commands twice.
type secondAnswers struct {
	seen  bool
	last  time.Duration // when one was seen last
	clean int           // rests since then after which nothing had come
}

// saw takes in a second answer.
func (s *secondAnswers) saw(now time.Duration) { *s = secondAnswers{seen: true, last: now} }

// passed takes in a rest after which nothing had come.
func (s *secondAnswers) passed() { s.clean = min(s.clean+1, cleanRests) }

// none says whether the node counts as one that sends no second answers. Of one that is not known well it doesn't.
func (s *secondAnswers) none(now time.Duration) bool {
	return s.clean >= cleanRests && (!s.seen || now-s.last >= secondMemory)
}
