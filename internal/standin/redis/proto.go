package redis

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Bounds on what a client may send. The real ones are far larger; nothing here needs them.
const (
	maxInlineLength  = 64 << 10
	maxArgs          = 64 << 10
	maxBulkLength    = 4 << 20
	maxCommandLength = 16 << 20
)

// protoError is answered as -ERR Protocol error and ends the connection.
type protoError string

func (e protoError) Error() string { return "Protocol error: " + string(e) }

// readCommand reads one command: an array of bulk strings, or an inline one. An empty result is an empty command, which
// has no answer.
func readCommand(in *bufio.Reader) ([]string, error) {
	head, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if head == "" {
		return nil, nil
	}
	if head[0] != '*' {
		return splitInline(head)
	}
	n, err := strconv.Atoi(head[1:])
	if err != nil || n > maxArgs {
		return nil, protoError("invalid multibulk length")
	}
	if n <= 0 {
		return nil, nil
	}
	args, size := make([]string, 0, min(n, 64)), 0
	for range n {
		line, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if line == "" || line[0] != '$' {
			return nil, protoError(fmt.Sprintf("expected '$', got '%.1s'", line+" "))
		}
		l, err := strconv.Atoi(line[1:])
		if err != nil || l < 0 || l > maxBulkLength {
			return nil, protoError("invalid bulk length")
		}
		if size += l; size > maxCommandLength {
			return nil, protoError("command too large")
		}
		b := make([]byte, l+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		if b[l] != '\r' || b[l+1] != '\n' {
			return nil, protoError("bulk string without its end")
		}
		args = append(args, string(b[:l]))
	}
	return args, nil
}

// readLine reads to the end of a line, which is not in the result.
func readLine(in *bufio.Reader) (string, error) {
	var b []byte
	for {
		part, err := in.ReadSlice('\n')
		b = append(b, part...)
		if len(b) > maxInlineLength {
			return "", protoError("too big inline request")
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if err != nil {
			return "", err
		}
		return strings.TrimSuffix(string(b[:len(b)-1]), "\r"), nil
	}
}

// splitInline splits a line as a shell would: words, 'single' and "double" quotes with escapes.
func splitInline(s string) ([]string, error) {
	var args []string
	bad := protoError("unbalanced quotes in request")
	for i := 0; ; {
		for i < len(s) && (s[i] == ' ' || s[i] == '\t') {
			i++
		}
		if i == len(s) {
			return args, nil
		}
		var word []byte
		for i < len(s) && s[i] != ' ' && s[i] != '\t' {
			quote := s[i]
			if quote != '"' && quote != '\'' {
				word = append(word, quote)
				i++
				continue
			}
			for i++; ; i++ {
				if i >= len(s) {
					return nil, bad
				}
				if s[i] == quote {
					break
				}
				if s[i] != '\\' || i+1 >= len(s) {
					word = append(word, s[i])
					continue
				}
				i++
				switch {
				case quote == '\'':
					if s[i] != '\'' {
						word = append(word, '\\')
					}
					word = append(word, s[i])
				case s[i] == 'x' && i+2 < len(s):
					if n, err := strconv.ParseUint(s[i+1:i+3], 16, 8); err == nil {
						word = append(word, byte(n))
						i += 2
						continue
					}
					word = append(word, 'x')
				default:
					if j := strings.IndexByte("nrtba", s[i]); j >= 0 {
						word = append(word, "\n\r\t\b\a"[j])
					} else {
						word = append(word, s[i])
					}
				}
			}
			if i++; i < len(s) && s[i] != ' ' && s[i] != '\t' {
				return nil, bad
			}
		}
		args = append(args, string(word))
	}
}
