package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

const (
	valueClients  = 5
	valueBehind   = 8                      // commands behind the one with the long value
	valueBytes    = 1 << 20                // of the long value
	valueHangs    = 600 * time.Millisecond // between the first half of it and the reset
	valueDeadline = 2000 * time.Millisecond
)

// answersBehindBrokenValue: a client sends some commands at once. The first one's value is long, and its node's connection
// is reset in the middle of it. That value has failed; each command behind it is owed its answer. Without the trouble the
// node gives the whole value.
func answersBehindBrokenValue(rec *Record, root string, trouble bool) (bool, error) {
	rig, err := newRig(rec, root, 12)
	if err != nil {
		return false, err
	}
	defer rig.Stop()
	rig.Class("schedule-set")["effect"] = "non_idempotent" // "the settings mark a class as unsafe to repeat"
	long := strings.Repeat("v", valueBytes)
	for _, b := range rig.Backends {
		b.Serve = func(a Arrival, nc net.Conn) {
			if a.Name != "Q.ASK" {
				time.Sleep(60 * time.Millisecond)
				rec.Log("node %s answers %s", b.UID, a.ID)
				io.WriteString(nc, served("value-"+a.ID))
				return
			}
			text := served(long)
			time.Sleep(30 * time.Millisecond)
			io.WriteString(nc, text[:valueBytes/2])
			time.Sleep(valueHangs)
			if trouble {
				rec.Log("node %s resets the connection within the value of %s", b.UID, a.ID)
				nc.(*net.TCPConn).SetLinger(0)
				nc.Close()
				return
			}
			io.WriteString(nc, text[valueBytes/2:])
		}
	}
	if err := rig.Start(); err != nil {
		return false, err
	}
	lost, answered, crossed := 0, 0, 0
	for i := range valueClients {
		ids, answers, err := valueClient(rec, rig.Listen, i)
		if err != nil {
			return false, err
		}
		time.Sleep(valueDeadline)
		ran := map[string]int{}
		for _, a := range rig.All() {
			ran[a.ID]++
		}
		for k, id := range ids[1:] {
			switch {
			case k+1 < answers:
				answered++
			case ran[id] > 0:
				lost++
				rec.Say("client %d: command %d (%s) came whole to a node, which answered it; the client has no answer: LOST", i, k+1, id)
			default:
				crossed++
			}
		}
	}
	rec.Say("of the commands behind the long values %d were answered, %d lost, %d not forwarded", answered, lost, crossed)
	return lost > 0, nil
}

// valueClient sends the commands and reads answers until the connection ends or all are there. It returns how many answers
// came, with the long value, whole or not, as the first.
func valueClient(rec *Record, addr string, number int) (ids []string, answers int, err error) {
	nc, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, 0, err
	}
	defer nc.Close()
	var all []byte
	for k := range 1 + valueBehind {
		id := newID()
		ids = append(ids, id)
		name, class := "Q.DO", "schedule-set"
		if k == 0 {
			name, class = "Q.ASK", "guide-read"
		}
		d := valueDeadline
		if k == 0 {
			d = time.Second
		}
		rec.Log("client %d sends %s %s %s", number, name, id, class)
		all = append(all, encode(name, fmt.Sprintf("%016x", 1000*number+k+1), id,
			fmt.Sprintf("c=%s,t=by,d=%d,units=1,spread=3,first=0", class, d.Milliseconds()))...)
	}
	if _, err := nc.Write(all); err != nil {
		return nil, 0, err
	}
	in := bufio.NewReader(nc)
	nc.SetReadDeadline(time.Now().Add(valueDeadline + 3*time.Second))
	for answers < len(ids) {
		line, err := readLine(in)
		if err != nil {
			rec.Say("client %d: connection ended after %d answers: %v", number, answers, err)
			return ids, answers, nil
		}
		got := 0
		if strings.HasPrefix(line, "$") {
			n, _ := strconv.Atoi(line[1:])
			copied, err := io.CopyN(io.Discard, in, int64(n)+2)
			got = int(copied)
			if err != nil {
				rec.Say("client %d: %d of %d bytes of value %d came: %v", number, got, n, answers, err)
				return ids, answers + 1, nil
			}
		}
		rec.Log("client %d: answer %d to %s: %.40s (%d bytes)", number, answers, ids[answers], line, got)
		answers++
	}
	return ids, answers, nil
}
