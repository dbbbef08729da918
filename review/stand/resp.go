package stand

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

const maxBulk = 4 << 20

// readLine reads a line that ends in CRLF and returns it without its end.
func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return "", err
	}
	if !strings.HasSuffix(line, "\r\n") {
		return "", fmt.Errorf("line %q does not end in CRLF", line)
	}
	return line[:len(line)-2], nil
}

// readBulk reads a bulk string whose header has been read, and the CRLF behind it.
func readBulk(in *bufio.Reader, header string) ([]byte, error) {
	n, err := strconv.Atoi(header[1:])
	if err != nil || n < 0 || n > maxBulk {
		return nil, fmt.Errorf("length %q", header)
	}
	b := make([]byte, n+2)
	if read, err := io.ReadFull(in, b); err != nil {
		return b[:min(read, n)], err
	}
	if string(b[n:]) != "\r\n" {
		return nil, errors.New("a bulk string does not end in CRLF")
	}
	return b[:n], nil
}

// readCommand reads an array of bulk strings.
func readCommand(in *bufio.Reader) ([]string, error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	if !strings.HasPrefix(line, "*") {
		return nil, fmt.Errorf("command begins with %q", line)
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 1 || n > 16 {
		return nil, fmt.Errorf("command of %q elements", line)
	}
	args := make([]string, 0, n)
	for range n {
		header, err := readLine(in)
		if err != nil {
			return nil, err
		}
		if !strings.HasPrefix(header, "$") {
			return nil, fmt.Errorf("element begins with %q", header)
		}
		arg, err := readBulk(in, header)
		if err != nil {
			return nil, err
		}
		args = append(args, string(arg))
	}
	return args, nil
}

// EncodeCommand encodes an array of bulk strings.
func EncodeCommand(args ...string) []byte {
	b := fmt.Appendf(nil, "*%d\r\n", len(args))
	for _, arg := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b
}

// Answer is what a client got for a command.
type Answer struct {
	Kind  string // served, refused, failed, or lost: the connection ended with no whole answer
	Value string // of a served request
	Text  string // of any other answer, or why it was lost
}

// readAnswer reads one answer: a bulk string, or a line.
func readAnswer(in *bufio.Reader) Answer {
	line, err := readLine(in)
	if err != nil {
		return Answer{Kind: "lost", Text: err.Error()}
	}
	switch {
	case strings.HasPrefix(line, "$") && line != "$-1":
		value, err := readBulk(in, line)
		if err != nil {
			return Answer{Kind: "cut", Text: fmt.Sprintf("%s: %d bytes, then %v", line, len(value), err)}
		}
		return Answer{Kind: "served", Value: string(value)}
	case line == "-BUSY" || strings.HasPrefix(line, "-BUSY "):
		return Answer{Kind: "refused", Text: line}
	default:
		return Answer{Kind: "failed", Text: line}
	}
}
