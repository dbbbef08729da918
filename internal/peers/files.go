package peers

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"
)

const (
	fileCheckInterval = time.Second
	maxKeyFileBytes   = 4 << 10
)

// ReadKeys reads the keys of a file, one on a line. The first one seals. Empty
// lines and those that begin with # are ignored.
func ReadKeys(file string) ([]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if len(text) > maxKeyFileBytes {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", file, len(text), maxKeyFileBytes)
	}
	var keys []string
	for scanner := bufio.NewScanner(bytes.NewReader(text)); scanner.Scan(); {
		if line := strings.TrimSpace(scanner.Text()); line != "" && line[0] != '#' {
			keys = append(keys, line)
		}
	}
	if _, err := NewSealer(keys); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return keys, nil
}

// ReadSeeds reads addresses from a file, one on a line. Empty lines and those
// that begin with # are ignored.
func ReadSeeds(file string) ([]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var seeds []string
	for line := range strings.Lines(string(text)) {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		if _, err := netip.ParseAddrPort(line); err != nil {
			return nil, fmt.Errorf("%s: %q is no address and port", file, line)
		}
		seeds = append(seeds, line)
	}
	return seeds, nil
}

// checkSeeds returns an error unless the seeds of a configuration have the
// address of another instance.
func checkSeeds(cfg Config, log *slog.Logger) error {
	if len(cfg.Seeds) == 0 {
		return errors.New("peers.seeds: there are none: an instance without seeds would find nobody")
	}
	if i := slices.Index(cfg.Seeds, cfg.Advertise); i >= 0 {
		if len(cfg.Seeds) == 1 {
			return fmt.Errorf("peers.seeds %q: that is this instance itself, and there is no other", cfg.Seeds)
		}
		log.Info("own address among the peer seeds ignored", "seed", cfg.Seeds[i])
	}
	return nil
}

// reloadFiles puts the keys and the seeds of the files in force. A file that
// cannot be used changes nothing.
func (p *Peers) reloadFiles() {
	p.reloadKeys()
	if p.cfg.SeedsFile != "" {
		p.reloadSeeds()
	}
}

func (p *Peers) reloadKeys() {
	keys, err := ReadKeys(p.cfg.KeyFile)
	if err != nil {
		if p.logLimit.allow(keyFileLines) {
			p.log.Error("key file rejected, keeping previous keys", "path", p.cfg.KeyFile,
				"err", fmt.Errorf("peers.key_file: %w", err))
		}
		return
	}
	if err := p.sealer.Set(keys); err != nil {
		p.log.Error("key file rejected, keeping previous keys", "path", p.cfg.KeyFile, "err", err)
	}
}

func (p *Peers) reloadSeeds() {
	seeds, err := ReadSeeds(p.cfg.SeedsFile)
	if err != nil {
		if p.logLimit.allow(seedsFileLines) {
			p.log.Error("seeds file rejected, keeping previous seeds", "path", p.cfg.SeedsFile,
				"err", fmt.Errorf("peers.seeds_file: %w", err))
		}
		return
	}
	p.mu.Lock()
	p.engine.membership.SetSeeds(seeds)
	p.mu.Unlock()
}
