package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of a gateway, as in the settings file. Each gateway has a loopback address of its own.
const (
	frontPort     = 8740
	readinessPort = 8749
	controlPort   = 8748
	firstPeerPort = 7200
	metricsPort   = 9464
)

// Bounds of the deployment, as on the sheets.
const (
	revokeDelay = 5 * time.Second
	stopGrace   = 8 * time.Second
)

// bench holds what a case has started.
type bench struct {
	dir     string
	program string
	record  *os.File
	start   time.Time
	// trouble says that the case plays its disruption.
	trouble bool

	mu       sync.Mutex
	cleanups []func()
}

func newBench(program, record string) (*bench, error) {
	absolute, err := programPath(program)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	b := &bench{dir: dir, program: absolute, record: file, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0"}
	b.logf("disruption: %t", b.trouble)
	return b, nil
}

// logf writes a line to the record, with the time since the start of the case.
func (b *bench) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(b.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(b.record, line)
}

// atEnd calls f at the end of the case.
func (b *bench) atEnd(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cleanups = append(b.cleanups, f)
}

// close ends all that the case has started.
func (b *bench) close() {
	b.mu.Lock()
	cleanups := b.cleanups
	b.mu.Unlock()
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	if err := os.RemoveAll(b.dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if err := b.record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
}

// gateway is a process of the project's gateway.
type gateway struct {
	bench   *bench
	front   string
	host    string
	process *exec.Cmd
	// exited is closed when the process has ended.
	exited chan struct{}
	// settings is the path of the settings file.
	settings string
}

// freeHost returns a loopback address at which the ports of a gateway are free.
func freeHost() (string, error) {
	for i := range 200 {
		n := os.Getpid() + i
		host := fmt.Sprintf("127.%d.%d.1", 16+n/250%200, n%250+1)
		if portsFree(host) {
			return host, nil
		}
	}
	return "", errors.New("no loopback address has free ports")
}

func portsFree(host string) bool {
	for _, port := range []int{frontPort, readinessPort, controlPort, firstPeerPort, metricsPort} {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", host, port))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// startGateway starts a gateway whose store is at an address, and waits until it is ready. The seeds are
// the hosts of other gateways.
func (b *bench) startGateway(store string, seeds ...string) (*gateway, error) {
	host, err := freeHost()
	if err != nil {
		return nil, err
	}
	g := &gateway{bench: b, front: fmt.Sprintf("%s:%d", host, frontPort), host: host}
	path := filepath.Join(b.dir, host+".yaml")
	if err := os.WriteFile(path, render("settings.yaml.tmpl", settings{Host: host, Seeds: append(seeds, host), Store: store}), 0o600); err != nil {
		return nil, err
	}
	g.settings = path
	if err := g.start(); err != nil {
		return nil, err
	}
	b.atEnd(g.kill)
	return g, g.awaitReady(20 * time.Second)
}

// start starts the process. Its output is appended to the log.
func (g *gateway) start() error {
	out, err := os.OpenFile(g.logPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(g.bench.program, "--log-format", "logfmt", "gateway", "--metrics-port", fmt.Sprint(metricsPort))
	process.Env = append(os.Environ(), string(render("environment.tmpl", g.settings)))
	process.Stdout, process.Stderr = out, out
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := errors.Join(process.Start(), out.Close()); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.process, g.exited = process, exited
	g.bench.logf("gateway started at %s", g.host)
	go func() {
		// The state of a process that was killed is an error.
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

func (g *gateway) logPath() string { return filepath.Join(g.bench.dir, g.host+".log") }

func (g *gateway) kill() {
	// Kill fails if the process has ended.
	_ = g.process.Process.Kill()
	<-g.exited
	data, err := os.ReadFile(g.logPath())
	if err != nil {
		return
	}
	const most = 6 << 10
	g.bench.logf("end of the gateway's log:\n%s", data[max(0, len(data)-most):])
}

func (g *gateway) signal(s syscall.Signal) error {
	g.bench.logf("%v to the gateway", s)
	return g.process.Process.Signal(s)
}

// ready asks the gateway as the platform does.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/v1/ready", g.host, readinessPort))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (g *gateway) awaitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if g.ready() {
			g.bench.logf("gateway ready")
			return nil
		}
	}
	return errors.New("the gateway doesn't get ready")
}

// settings are the values of the settings file of an entry host.
type settings struct {
	Host  string
	Seeds []string
	Store string
}
