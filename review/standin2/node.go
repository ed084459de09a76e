package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// node is an entry VM: a process of the system, started as the deploy file says.
type node struct {
	name, zone, region string
	ip                 string
	front, ready       string
	control, directory string
	memoryMB           int
	maxFDs             int
	settings           string
	log                string
	command            *exec.Cmd
	exited             chan struct{}
	ended              string
}

// place is an availability zone and its region.
type place struct{ zone, region string }

// freeAddress returns an address of a loopback IP with a port that is free now.
func freeAddress(ip string) string {
	listener := listen(ip)
	defer listener.Close()
	return listener.Addr().String()
}

// newNodes prepares one entry VM for each place and writes its settings file.
func newNodes(dir, storeAddress string, places []place, memoryMB, maxFDs int, more string) []*node {
	var nodes []*node
	for i, p := range places {
		ip := fmt.Sprintf("127.%d.%d.%d", 60+os.Getpid()%100, os.Getpid()/100%250, 10+i)
		n := &node{name: "edge-" + p.zone, zone: p.zone, region: p.region, ip: ip, memoryMB: memoryMB, maxFDs: maxFDs}
		for _, address := range []*string{&n.front, &n.ready, &n.control, &n.directory} {
			*address = freeAddress(ip)
		}
		nodes = append(nodes, n)
	}
	var zones, seeds strings.Builder
	for _, n := range nodes {
		fmt.Fprintf(&zones, "%s = %q\n", n.zone, n.region)
		if seeds.Len() > 0 {
			seeds.WriteString(",")
		}
		fmt.Fprintf(&seeds, "%q", n.control)
	}
	for _, n := range nodes {
		n.settings, n.log = filepath.Join(dir, n.name+".toml"), filepath.Join(dir, n.name+".log")
		_, port, _ := net.SplitHostPort(freeAddress(n.ip))
		document := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge","control","directory"]
ip = %q
zone = %q
region = %q
internal_ports = [%s,%s]
seeds = [%s]
bootstrap = true
loss_counted = false
discovery = "platform"
entry = "directory"
beat_interval_ms = 1500
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
[zones]
%s
[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.32
cpu_cores = 1
memory_mb = %d
max_fds = %d
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 1
regions = 1
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 2000
revert_slack_ms = 250
max_stretch_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_slack = 60
cold_load_factor = 1.5
cold_slack = 5
evacuation_ms = 5000
recovery_s = 15
ttl_max_s = 5
max_region_shift = 0.15
%s[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, n.name, n.ip, n.zone, n.region, port, port, seeds.String(), zones.String(), n.front, n.ready, n.control, n.directory,
			n.memoryMB, n.maxFDs, more, storeAddress)
		if err := os.WriteFile(n.settings, []byte(document), 0o600); err != nil {
			cannotRun("%v", err)
		}
	}
	return nodes
}

// startedNodes are the entry VMs whose processes end with the case.
var startedNodes []*node

// start starts the process with the command of the deploy file, in the repository's root.
func (n *node) start() {
	output, err := os.OpenFile(n.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	defer output.Close()
	command := exec.Command("target/fuchsiaspard", "platform")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "FUCHSIASPAR_NODE_FILE=" + n.settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannotRun("start: %v", err)
	}
	n.command = command
	startedNodes = append(startedNodes, n)
	exited := make(chan struct{})
	n.exited, n.ended = exited, ""
	go func() {
		_ = command.Wait()
		n.ended = command.ProcessState.String()
		close(exited)
	}()
}

func (n *node) running() bool {
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

func (n *node) signal(s syscall.Signal) { _ = n.command.Process.Signal(s) }

// stop ends the process.
func (n *node) stop() {
	if n.command == nil {
		return
	}
	n.signal(syscall.SIGKILL)
	<-n.exited
}

// isReady reports whether the process answers its readiness check.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.ready + "/-/readiness")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// memory returns the resident size of the process in bytes; zero if it has ended.
func (n *node) memory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib << 10
		}
	}
	return 0
}

// awaitReady waits until all processes answer their readiness checks.
func awaitReady(nodes []*node) {
	deadline := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for !n.isReady() {
			if time.Now().After(deadline) || !n.running() {
				cannotRun("%s is not ready (%s)", n.name, n.ended)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}
