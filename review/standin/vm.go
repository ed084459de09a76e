package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// vm is one entry VM: a process started with the command of the deploy file.
type vm struct {
	name, zone, region                        string
	front, ready, control, directory, metrics string
	storePath                                 *cutProxy
	settings, log                             string
	command                                   *exec.Cmd
	exited                                    chan struct{}
}

// bounds are those of a site; the rules are judged by them.
type bounds struct {
	drain, configApply, grace time.Duration
}

var siteBounds = bounds{drain: 2 * time.Second, configApply: 2 * time.Second, grace: 6 * time.Second}

// loopbackIP returns a loopback IP for a VM that no other run uses at the same time. No
// connection goes out from it, so its free ports stay free until the VM listens.
func loopbackIP(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%200, 1+pid/200%250, 10+number)
}

// freeAddresses returns addresses of an IP whose ports were free just now.
func freeAddresses(ip string, count int) ([]string, error) {
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

// newVMs writes the settings of one VM for each of the zones. regions maps zones to regions.
func newVMs(dir string, zones []string, regions map[string]string, platformStore *store) ([]*vm, error) {
	var vms []*vm
	var seeds []string
	for i, zone := range zones {
		a, err := freeAddresses(loopbackIP(i), 5)
		if err != nil {
			return nil, err
		}
		name := fmt.Sprintf("edge-%s-%d", zone, i+1)
		storeAddress, err := platformStore.listen(name)
		if err != nil {
			return nil, err
		}
		path, err := startCutProxy(storeAddress)
		if err != nil {
			return nil, err
		}
		vms = append(vms, &vm{
			name: name, zone: zone, region: regions[zone], front: a[0], ready: a[1], control: a[2],
			directory: a[3], metrics: a[4], storePath: path,
			settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"),
		})
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", a[2]))
		}
	}
	var zoneTable strings.Builder
	for zone, region := range regions {
		fmt.Fprintf(&zoneTable, "%s = %q\n", zone, region)
	}
	for _, v := range vms {
		text := fmt.Sprintf(`node_name = %q
role = "entry"
machine_class = "edge"
serves = ["edge","directory","control"]
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
%s[listen]
front = %q
ready = %q
control = %q
directory = %q
[limits]
cpu_share = 0.64
cpu_cores = 1
memory_mb = 544
max_fds = 8200
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
[platform]
address = %q
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
`, v.name, hostOf(v.front), v.zone, v.region, portOf(v.metrics), portOf(v.metrics), strings.Join(seeds, ","), zoneTable.String(),
			v.front, v.ready, v.control, v.directory, v.storePath.address)
		if err := os.WriteFile(v.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return vms, nil
}

// start starts the process from the root of the repository, the working directory.
func (v *vm) start() error {
	output, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	v.command = exec.Command("target/fuchsiaspard", "platform")
	v.command.Env = []string{"FUCHSIASPAR_NODE_FILE=" + v.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	v.command.Stdout, v.command.Stderr = output, output
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		return err
	}
	command, exited := v.command, make(chan struct{})
	v.exited = exited
	go func() {
		_ = command.Wait()
		output.Close()
		close(exited)
	}()
	return nil
}

func (v *vm) running() bool {
	select {
	case <-v.exited:
		return false
	default:
		return true
	}
}

func (v *vm) signal(s syscall.Signal) { _ = v.command.Process.Signal(s) }

// end kills the process and waits for its end.
func (v *vm) end() {
	if v.command == nil || v.command.Process == nil {
		return
	}
	_ = v.command.Process.Kill()
	<-v.exited
}
