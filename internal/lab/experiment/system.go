// Package experiment runs whole systems of processes under load and failures,
// checks every promise on what callers were told and servers did, and measures.
package experiment

import (
	"fmt"
	"os"

	"github.com/micahaven/micahaven/examples"
	"github.com/micahaven/micahaven/internal/lab/cluster"
	"github.com/micahaven/micahaven/internal/lab/demo"
	"github.com/micahaven/micahaven/internal/lab/load"
	"github.com/micahaven/micahaven/internal/table"
)

// Deployment is a system of a given size.
type Deployment struct {
	Name     string
	Table    []byte
	Services []Service
	Zones    int
	Nodes    int
}

// Service is one service of a deployment.
type Service struct {
	Name       string
	Servers    int
	Slots      int
	Share      float64
	WriteShare float64
	Priority   string
}

// Small is a deployment for many short runs.
var Small = Deployment{
	Name: "small", Table: examples.Tintamezcla, Zones: 3, Nodes: 3,
	Services: []Service{
		{Name: "formula", Servers: 4, Slots: 2, Share: 2},
		{Name: "dispense", Servers: 3, Slots: 2, Share: 1, WriteShare: 0.8},
		{Name: "restock", Servers: 2, Slots: 2, Share: 0.3, WriteShare: 1, Priority: "background"},
	},
}

// Tintamezcla has the sizes of the paint tinting gateway.
var Tintamezcla = Deployment{
	Name: "tintamezcla", Table: examples.Tintamezcla, Zones: 3, Nodes: 3,
	Services: []Service{
		{Name: "formula", Servers: 15, Slots: 2, Share: 3},
		{Name: "dispense", Servers: 6, Slots: 2, Share: 1, WriteShare: 0.8},
		{Name: "restock", Servers: 7, Slots: 2, Share: 0.3, WriteShare: 1, Priority: "background"},
	},
}

// Umurage has the sizes of the matchmaking house.
var Umurage = Deployment{
	Name: "umurage", Table: examples.Umurage, Zones: 3, Nodes: 3,
	Services: []Service{
		{Name: "profiles", Servers: 20, Slots: 4, Share: 4},
		{Name: "letters", Servers: 10, Slots: 4, Share: 1, WriteShare: 0.7},
		{Name: "meetings", Servers: 6, Slots: 4, Share: 0.5, WriteShare: 0.7},
	},
}

// Deployments lists the deployments by name.
var Deployments = []Deployment{Small, Tintamezcla, Umurage}

// start brings a deployment up and waits until every slice is served.
func (d *Deployment) start(programs cluster.Programs) (*cluster.Cluster, error) {
	directory, err := os.MkdirTemp("", "micahaven-experiment-")
	if err != nil {
		return nil, err
	}
	system, err := cluster.Start(programs, directory)
	if err != nil {
		return system, err
	}
	for i := range d.Nodes {
		if err := system.StartNode(nodeName(i), d.zone(i)); err != nil {
			return system, err
		}
	}
	for _, service := range d.Services {
		for i := range service.Servers {
			if err := system.StartServer(d.serverSpec(service, i)); err != nil {
				return system, err
			}
		}
	}
	wanted, err := table.ParseYAML(d.Table)
	if err != nil {
		return system, err
	}
	if err := system.LoadTable(nodeName(0), wanted); err != nil {
		return system, err
	}
	for _, service := range d.Services {
		if err := demo.WaitServed(system, nodeName(0), []string{service.Name}, service.Servers); err != nil {
			return system, err
		}
	}
	return system, nil
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i+1) }

func (d *Deployment) zone(i int) string { return fmt.Sprintf("zone-%d", i%d.Zones+1) }

func serverName(service string, i int) string { return fmt.Sprintf("%s-%d", service, i+1) }

// serverSpec puts the servers on both sites in turn.
func (d *Deployment) serverSpec(service Service, i int) cluster.ServerSpec {
	sites := []string{"old", "new"}
	return cluster.ServerSpec{
		ID: serverName(service.Name, i), Service: service.Name, Site: sites[i%len(sites)],
		Zone: d.zone(i), Slots: service.Slots, Work: serverWork,
	}
}

func (d *Deployment) mixes() []load.Mix {
	var mixes []load.Mix
	for _, service := range d.Services {
		mixes = append(mixes, load.Mix{
			Service: service.Name, Share: service.Share, WriteShare: service.WriteShare, Priority: service.Priority,
		})
	}
	return mixes
}
