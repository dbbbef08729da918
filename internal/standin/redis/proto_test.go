package redis

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"
)

// Raw requests, valid and malformed, get exactly the expected reply bytes.
func TestRaw(t *testing.T) {
	s := startServer(t, Options{})
	for in, want := range map[string]string{
		"PING\r\n": "+PONG\r\n",
		"SET \"a b\" 'c\\'d'\r\nGET \"a\\x20b\"\n":                   "+OK\r\n$3\r\nc'd\r\n",
		"\r\n\r\nPING\r\n":                                           "+PONG\r\n",
		"*1\r\n$4\r\nPING\r\n*0\r\n*2\r\n$4\r\nECHO\r\n$2\r\nhi\r\n": "+PONG\r\n$2\r\nhi\r\n",
		"HELLO 4\r\n": "-NOPROTO unsupported protocol version\r\n",
		"GET nothing\r\nHELLO 3 SETNAME x\r\nGET nothing\r\nCLIENT GETNAME\r\n": "$-1\r\n%7\r\n",
		"*2\r\n$3\r\nGET\r\n$-5\r\n": "-ERR Protocol error: invalid bulk length\r\n",
		"*99999999\r\n":              "-ERR Protocol error: invalid multibulk length\r\n",
		"*1\r\nPING\r\n":             "-ERR Protocol error: expected '$', got 'P'\r\n",
		"SET \"a\r\n":                "-ERR Protocol error: unbalanced quotes in request\r\n",
		"MULTI\r\nINCR\r\nEXEC\r\n": "+OK\r\n-ERR wrong number of arguments for 'incr' command\r\n" +
			"-EXECABORT Transaction discarded because of previous errors.\r\n",
		"MULTI\r\nSET q 1\r\nINCR q\r\nEXEC\r\n": "+OK\r\n+QUEUED\r\n+QUEUED\r\n*2\r\n+OK\r\n:2\r\n",
		"QUIT\r\nPING\r\n":                       "+OK\r\n",
	} {
		nc, err := net.Dial("tcp", s.Addr())
		if err != nil {
			t.Fatal(err)
		}
		nc.SetDeadline(time.Now().Add(20 * time.Second))
		io.WriteString(nc, in)
		nc.(*net.TCPConn).CloseWrite()
		got, _ := io.ReadAll(nc)
		nc.Close()
		if !strings.HasPrefix(string(got), want) || strings.HasPrefix(in, "QUIT") && string(got) != want {
			t.Errorf("%q: got %q, want %q", in, got, want)
		}
	}
}

func TestInline(t *testing.T) {
	for in, want := range map[string][]string{
		"a b":            {"a", "b"},
		"  a\t b ":       {"a", "b"},
		`"a b" c`:        {"a b", "c"},
		`"\n\x41\"" 'x'`: {"\nA\"", "x"},
		`''`:             {""},
	} {
		if got, err := splitInline(in); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("splitInline(%q): got %q, %v, want %q", in, got, err, want)
		}
	}
}

// The parser terminates on any input, and a parsed command survives a round trip through the array encoding.
func FuzzReadCommand(f *testing.F) {
	for _, s := range []string{
		"PING\r\n", "*2\r\n$3\r\nGET\r\n$1\r\nk\r\n", "*-1\r\n", "*1\r\n$99999999999\r\n", "\"a\\x4", "'\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		args, err := readCommand(bufio.NewReader(bytes.NewReader(b)))
		if err != nil || len(args) == 0 {
			return
		}
		v := array()
		for _, a := range args {
			v.list = append(v.list, bulk(a))
		}
		again, err := readCommand(bufio.NewReader(bytes.NewReader(v.append(nil, 2))))
		if err != nil || !reflect.DeepEqual(again, args) {
			t.Fatalf("%q came back as %q, %v", args, again, err)
		}
	})
}
