package redis

import (
	"context"
	"crypto/sha1"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	lua "github.com/yuin/gopher-lua"
	"github.com/yuin/gopher-lua/parse"
)

const (
	scriptTimeout = 5 * time.Second // Redis starts to answer BUSY after this time; the stand-in aborts the script
	maxScripts    = 1000
	maxReplyDepth = 16
)

// scripts holds a server's compiled Lua scripts, by SHA-1, and the interpreter that runs them one at a time.
type scripts struct {
	compiled    map[string]*lua.FunctionProto
	interpreter *lua.LState
	current     *call // context of the running script
}

// sha1Hex returns the SHA-1 digest of a text in hex, which identifies a script.
func sha1Hex(text string) string {
	sum := sha1.Sum([]byte(text))
	return hex.EncodeToString(sum[:])
}

// addScriptCommands adds the commands that load and run scripts to the table.
func addScriptCommands(t map[string]command) {
	t["EVAL"] = command{-3, false, true, [3]int{}, cmdEval}
	t["EVALSHA"] = command{-3, false, true, [3]int{}, cmdEvalSHA}
	t["SCRIPT"] = command{-2, false, true, [3]int{}, cmdScript}
}

// cmdEval implements EVAL script numkeys key... arg...
func cmdEval(x *call, a []string) value {
	n, errReply := keyCount(a)
	if errReply.kind != kindNone {
		return errReply
	}
	id, err := x.server.scripts.load(a[1])
	if err != nil {
		return errorReplyf("Error compiling script: %v", err)
	}
	return x.server.scripts.run(x, id, a[3:3+n], a[3+n:])
}

// cmdEvalSHA implements EVALSHA sha1 numkeys key... arg...
func cmdEvalSHA(x *call, a []string) value {
	n, errReply := keyCount(a)
	if errReply.kind != kindNone {
		return errReply
	}
	return x.server.scripts.run(x, strings.ToLower(a[1]), a[3:3+n], a[3+n:])
}

// keyCount parses the numkeys argument of EVAL and EVALSHA. If it is invalid, errReply is the error reply.
func keyCount(a []string) (n int, errReply value) {
	n, err := strconv.Atoi(a[2])
	switch {
	case err != nil:
		return 0, errorReply(notIntegerMessage)
	case n < 0:
		return 0, errorReplyf("Number of keys can't be negative")
	case n > len(a)-3:
		return 0, errorReplyf("Number of keys can't be greater than number of args")
	}
	return n, value{}
}

// cmdScript implements SCRIPT LOAD, EXISTS and FLUSH.
func cmdScript(x *call, a []string) value {
	switch sub := strings.ToUpper(a[1]); {
	case sub == "LOAD" && len(a) == 3:
		id, err := x.server.scripts.load(a[2])
		if err != nil {
			return errorReplyf("Error compiling script: %v", err)
		}
		return bulk(id)
	case sub == "EXISTS" && len(a) > 2:
		out := array()
		for _, id := range a[2:] {
			n := int64(0)
			if x.server.scripts.compiled[strings.ToLower(id)] != nil {
				n = 1
			}
			out.list = append(out.list, integer(n))
		}
		return out
	case sub == "FLUSH":
		x.server.scripts.flush()
		return okReply
	}
	return errorReplyf("unknown subcommand or wrong number of arguments for '%s'", a[1])
}

// flush empties the script cache.
func (s *scripts) flush() { s.compiled = map[string]*lua.FunctionProto{} }

// load compiles a script, unless it is cached, and returns its SHA-1. It empties a full cache first.
func (s *scripts) load(text string) (string, error) {
	id := sha1Hex(text)
	if s.compiled[id] != nil {
		return id, nil
	}
	if len(s.compiled) >= maxScripts {
		s.flush()
	}
	chunk, err := parse.Parse(strings.NewReader(text), "@user_script")
	if err != nil {
		return "", fmt.Errorf("user_script: %w", err)
	}
	proto, err := lua.Compile(chunk, "@user_script")
	if err != nil {
		return "", fmt.Errorf("user_script: %w", err)
	}
	if s.compiled == nil {
		s.flush()
	}
	s.compiled[id] = proto
	return id, nil
}

// open creates the interpreter. Scripts have no access to files or processes, and can't create global variables.
func (s *scripts) open() {
	s.interpreter = lua.NewState(lua.Options{SkipOpenLibs: true, RegistrySize: 1 << 12, RegistryMaxSize: 1 << 18})
	for name, open := range map[string]lua.LGFunction{
		lua.BaseLibName: lua.OpenBase, lua.TabLibName: lua.OpenTable,
		lua.StringLibName: lua.OpenString, lua.MathLibName: lua.OpenMath,
	} {
		s.interpreter.Push(s.interpreter.NewFunction(open))
		s.interpreter.Push(lua.LString(name))
		s.interpreter.Call(1, 0)
	}
	for _, name := range []string{"dofile", "loadfile", "print", "require", "module"} {
		s.interpreter.SetGlobal(name, lua.LNil)
	}
	api := s.interpreter.NewTable()
	s.interpreter.SetFuncs(api, map[string]lua.LGFunction{
		"call":         func(l *lua.LState) int { return s.call(l, true) },
		"pcall":        func(l *lua.LState) int { return s.call(l, false) },
		"error_reply":  func(l *lua.LState) int { return replyTable(l, "err") },
		"status_reply": func(l *lua.LState) int { return replyTable(l, "ok") },
		"sha1hex": func(l *lua.LState) int {
			l.Push(lua.LString(sha1Hex(l.CheckString(1))))
			return 1
		},
		"log": func(*lua.LState) int { return 0 },
	})
	for i, name := range []string{"LOG_DEBUG", "LOG_VERBOSE", "LOG_NOTICE", "LOG_WARNING"} {
		api.RawSetString(name, lua.LNumber(i))
	}
	s.interpreter.SetGlobal("redis", api)
	meta := s.interpreter.NewTable()
	s.interpreter.SetFuncs(meta, map[string]lua.LGFunction{
		"__newindex": func(l *lua.LState) int {
			l.RaiseError("Attempt to modify a readonly table: global variable '%s'", l.CheckAny(2).String())
			return 0
		},
		"__index": func(l *lua.LState) int {
			l.RaiseError("Script attempted to access nonexistent global variable '%s'", l.CheckAny(2).String())
			return 0
		},
	})
	s.interpreter.SetMetatable(s.interpreter.Get(lua.GlobalsIndex), meta)
}

// replyTable implements redis.error_reply and redis.status_reply: it returns a table with the argument in a field.
func replyTable(l *lua.LState, field string) int {
	t := l.NewTable()
	text := l.CheckString(1)
	if field == "err" && !strings.HasPrefix(text, "-") && !strings.Contains(text, " ") {
		text = "ERR " + text
	}
	t.RawSetString(field, lua.LString(strings.TrimPrefix(text, "-")))
	l.Push(t)
	return 1
}

// run runs a script by its SHA-1. If it fails, the writes that it made before remain.
func (s *scripts) run(x *call, id string, keys, argv []string) value {
	proto := s.compiled[id]
	if proto == nil {
		return errorReply("NOSCRIPT No matching script. Please use EVAL.")
	}
	if s.interpreter == nil {
		s.open()
	}
	list := func(from []string) *lua.LTable {
		t := s.interpreter.CreateTable(len(from), 0)
		for _, v := range from {
			t.Append(lua.LString(v))
		}
		return t
	}
	globals := s.interpreter.Get(lua.GlobalsIndex).(*lua.LTable)
	globals.RawSetString("KEYS", list(keys))
	globals.RawSetString("ARGV", list(argv))
	ctx, cancel := context.WithTimeout(context.Background(), scriptTimeout)
	defer cancel()
	s.interpreter.SetContext(ctx)
	inner := *x
	inner.inScript = true
	s.current = &inner
	defer func() {
		s.current = nil
		s.interpreter.SetTop(0)
		s.interpreter.RemoveContext()
	}()
	s.interpreter.Push(s.interpreter.NewFunctionFromProto(proto))
	if err := s.interpreter.PCall(0, 1, nil); err != nil {
		var api *lua.ApiError
		text := err.Error()
		if errors.As(err, &api) {
			if t, ok := api.Object.(*lua.LTable); ok {
				text = t.RawGetString("err").String()
				if text == "" {
					text = "ERR unknown error"
				}
				return errorReply(text + " script: " + id + ", on @user_script.")
			}
			text = api.Object.String()
		}
		return errorReplyf("Error running script: %s", text)
	}
	return fromLua(s.interpreter.Get(-1), 0)
}

// call implements redis.call and redis.pcall. With raise set, an error reply aborts the script.
func (s *scripts) call(l *lua.LState, raise bool) int {
	args := make([]string, 0, l.GetTop())
	var v value
	for i := 1; i <= l.GetTop(); i++ {
		switch a := l.Get(i).(type) {
		case lua.LString:
			args = append(args, string(a))
		case lua.LNumber:
			args = append(args, formatNumber(float64(a)))
		default:
			v = errorReply("ERR Lua redis lib command arguments must be strings or integers")
		}
	}
	if len(args) == 0 && v.kind == kindNone {
		v = errorReply("ERR Please specify at least one argument for this redis.call() call")
	}
	if v.kind == kindNone {
		v = s.current.server.execute(s.current, args)
	}
	if v.kind == kindError && raise {
		l.Error(toLua(l, v), 1)
	}
	l.Push(toLua(l, v))
	return 1
}

// formatNumber formats a Lua number as a command argument: integers without a decimal point, other numbers with 17
// significant digits.
func formatNumber(f float64) string {
	if f == math.Trunc(f) && math.Abs(f) < 1e17 {
		return strconv.FormatInt(int64(f), 10)
	}
	return strconv.FormatFloat(f, 'g', 17, 64)
}

// toLua converts a reply to a Lua value.
func toLua(l *lua.LState, v value) lua.LValue {
	wrap := func(field string) lua.LValue {
		t := l.NewTable()
		t.RawSetString(field, lua.LString(v.str))
		return t
	}
	switch v.kind {
	case kindStatus:
		return wrap("ok")
	case kindError:
		return wrap("err")
	case kindInteger:
		return lua.LNumber(v.n)
	case kindBulk:
		return lua.LString(v.str)
	case kindDouble:
		return lua.LString(formatFloat(v.f))
	case kindArray, kindMap:
		t := l.NewTable()
		for i, e := range v.list {
			t.RawSetInt(i+1, toLua(l, e))
		}
		return t
	default: // null replies are false in Lua
		return lua.LFalse
	}
}

// fromLua converts the result of a script to a reply: numbers are truncated to integers, true becomes 1, false and nil
// become null, and a table becomes an array that ends before its first nil.
func fromLua(v lua.LValue, depth int) value {
	switch v := v.(type) {
	case lua.LString:
		return bulk(string(v))
	case lua.LNumber:
		return integer(int64(v))
	case lua.LBool:
		if v {
			return integer(1)
		}
	case *lua.LTable:
		if depth > maxReplyDepth {
			return errorReplyf("reached lua stack limit")
		}
		if e, ok := v.RawGetString("err").(lua.LString); ok {
			return errorReply(string(e))
		}
		if o, ok := v.RawGetString("ok").(lua.LString); ok {
			return statusReply(string(o))
		}
		out := array()
		for i := 1; ; i++ {
			e := v.RawGetInt(i)
			if e == lua.LNil {
				return out
			}
			out.list = append(out.list, fromLua(e, depth+1))
		}
	}
	return nullReply
}
