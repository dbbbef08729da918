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

// ReadKeys reads keys from a file, one per line. The first one encrypts, all of
// them decrypt. Empty lines and lines that begin with # are ignored.
func ReadKeys(file string) ([]string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if len(text) > maxKeyFileBytes {
		return nil, fmt.Errorf("%s: file has %d bytes, the limit is %d", file, len(text), maxKeyFileBytes)
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

// ReadSeeds reads seed addresses from a file, one per line. Empty lines and lines
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
			return nil, fmt.Errorf("%s: %q is not an IP address with a port", file, line)
		}
		seeds = append(seeds, line)
	}
	return seeds, nil
}

// checkSeeds returns an error unless the configured seeds include the address of
// another instance.
func checkSeeds(cfg Config, log *slog.Logger) error {
	if len(cfg.Seeds) == 0 {
		return errors.New("peers.seeds: empty; an instance without seeds cannot find other instances")
	}
	if i := slices.Index(cfg.Seeds, cfg.Advertise); i >= 0 {
		if len(cfg.Seeds) == 1 {
			return fmt.Errorf("peers.seeds %q: the only seed is this instance itself", cfg.Seeds)
		}
		log.Info("own address among the peer seeds ignored", "seed", cfg.Seeds[i])
	}
	return nil
}

// reloadFiles reloads the keys and the seeds from their files. An invalid file is
// logged and the previous content stays in effect.
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
