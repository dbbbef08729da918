package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

const (
	headRequests = 12
	headValue    = 200 << 10              // bytes of a value
	headPause    = 400 * time.Millisecond // between the first piece of an answer and the rest
	headDeadline = 2000 * time.Millisecond
)

// longValueInPieces: values of over 64 KiB come in two pieces, the first of which ends within the value's head. The first bytes
// come in time and the rest soon after; what the node gives may not be cut off. Without the trouble the pieces come at once.
func longValueInPieces(rec *Record, root string, trouble bool) (bool, error) {
	rig, err := newRig(rec, root, 12)
	if err != nil {
		return false, err
	}
	defer rig.Stop()
	rig.Class("schedule-set")["effect"] = "non_idempotent" // "the settings mark a class as unsafe to repeat"
	long := strings.Repeat("v", headValue)
	for _, b := range rig.Backends {
		b.Serve = func(a Arrival, nc net.Conn) {
			text := served(long)
			cut := 1 + rand.IntN(strings.Index(text, "v")-1)
			time.Sleep(60 * time.Millisecond)
			io.WriteString(nc, text[:cut])
			rec.Log("node %s has written %d bytes of the answer to %s", b.UID, cut, a.ID)
			if trouble {
				time.Sleep(headPause)
			}
			_, err := io.WriteString(nc, text[cut:])
			rec.Log("node %s has written the rest of the answer to %s: %v", b.UID, a.ID, err)
		}
	}
	if err := rig.Start(); err != nil {
		return false, err
	}
	cutOff, whole, other := 0, 0, 0
	for i := range headRequests {
		nc, err := net.Dial("tcp", rig.Listen)
		if err != nil {
			return false, err
		}
		id := newID()
		rec.Log("client %d sends %s", i, id)
		sent := time.Now()
		nc.Write(encode("Q.DO", fmt.Sprintf("%016x", 1000+i), id,
			fmt.Sprintf("c=schedule-set,t=by,d=%d,units=1,spread=3,first=0", headDeadline.Milliseconds())))
		nc.SetReadDeadline(sent.Add(headDeadline + 3*time.Second))
		kind, text, err := readReply(bufio.NewReader(nc))
		nc.Close()
		time.Sleep(headPause)
		ran := 0
		for _, a := range rig.All() {
			if a.ID == id {
				ran++
			}
		}
		rec.Say("client %d answered: %q %.20s (%d bytes, %v) after %v, %d attempts", i, kind, text, len(text), err,
			time.Since(sent).Round(time.Millisecond)-headPause, ran)
		switch {
		case kind == '$' && text == long:
			whole++
		case ran > 0:
			cutOff++
		default: // refused before an attempt
			other++
		}
	}
	rec.Say("%d values were passed on whole, %d were cut off while their node still gave them, %d requests were not forwarded",
		whole, cutOff, other)
	return cutOff > 0, nil
}
