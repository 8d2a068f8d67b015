package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"ragwortstep/internal/admin"
	"ragwortstep/internal/core/config"
)

// objectPath is the path of a named object of a collection.
func objectPath(collection, name string) string {
	return admin.Prefix + "/" + collection + "/" + url.PathEscape(name)
}

// listObjects prints all objects of a collection.
func listObjects[T any](ctx context.Context, a *app, c *cli.Command, collection, header string, row func(T) []any) error {
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	objects, err := listAll[T](ctx, api, "/"+collection)
	if err != nil {
		return err
	}
	return a.print(c, objects, func(w io.Writer) {
		printTable(w, header, func(line func(...any)) {
			for _, object := range objects {
				line(row(object)...)
			}
		})
	})
}

// getObject prints one object as JSON, for both values of --output.
func getObject(ctx context.Context, a *app, c *cli.Command, collection string) error {
	name, err := oneArg(c, "name")
	if err != nil {
		return err
	}
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	var object json.RawMessage
	if _, err := api.call(ctx, request{method: http.MethodGet, path: objectPath(collection, name), into: &object}); err != nil {
		return err
	}
	_, err = fmt.Fprintln(a.out, string(object))
	return err
}

// setObject edits the object named by the only argument. If there is none, it
// edits initial and adds it to the collection.
func setObject[T any](ctx context.Context, a *app, c *cli.Command, collection string, initial T, edit func(name string, object *T)) error {
	name, err := oneArg(c, "name")
	if err != nil {
		return err
	}
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	result, err := editObject(ctx, c, api, objectPath(collection, name), initial, func(object *T) error {
		edit(name, object)
		return nil
	})
	if err != nil {
		return err
	}
	return a.reportWrite(c, result)
}

func deleteObject(ctx context.Context, a *app, c *cli.Command, collection string) error {
	name, err := oneArg(c, "name")
	if err != nil {
		return err
	}
	query := writeQuery(c)
	if c.Bool("revoke-keys") {
		query.Set("revoke_keys", "true")
	}
	return a.removeObject(ctx, c, objectPath(collection, name), query)
}

// collectionCommands returns the commands list, get and delete of a collection.
func collectionCommands(a *app, collection string, list cli.ActionFunc, deleteFlags ...cli.Flag) []*cli.Command {
	return []*cli.Command{
		{Name: "list", Usage: "list all", Action: list},
		{Name: "get", ArgsUsage: "NAME", Usage: "print one as JSON", Action: func(ctx context.Context, c *cli.Command) error {
			return getObject(ctx, a, c, collection)
		}},
		{Name: "delete", ArgsUsage: "NAME", Usage: "delete one", Flags: writeFlags(deleteFlags...), Action: func(ctx context.Context, c *cli.Command) error {
			return deleteObject(ctx, a, c, collection)
		}},
	}
}

func (a *app) workspaceCommand() *cli.Command {
	set := &cli.Command{
		Name: "set", ArgsUsage: "NAME", Usage: "edit the named fields of a workspace, or add it",
		Flags: writeFlags(
			&cli.FloatFlag{Name: "weight", Usage: "share under contention, relative to others; 1 for a new workspace"},
			&cli.FloatFlag{Name: "rate", Usage: "requests per second over all hosts"},
			&cli.FloatFlag{Name: "burst", Usage: "requests admitted at once over all hosts"},
			&cli.IntFlag{Name: "max-queue", Usage: "waiting requests per host; 100 for a new workspace"},
			&cli.StringFlag{Name: "note"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return setObject(ctx, a, c, "workspaces", config.Workspace{Weight: 1, MaxQueue: 100}, func(name string, w *config.Workspace) {
				w.Name = name
				setFromFlag(c, "weight", &w.Weight, c.Float)
				setFromFlag(c, "rate", &w.Rate, c.Float)
				setFromFlag(c, "burst", &w.Burst, c.Float)
				setFromFlag(c, "max-queue", &w.MaxQueue, c.Int)
				setFromFlag(c, "note", &w.Note, c.String)
			})
		},
	}
	list := func(ctx context.Context, c *cli.Command) error {
		return listObjects(ctx, a, c, "workspaces", "WORKSPACE\tWEIGHT\tRATE\tBURST\tMAX QUEUE\tNOTE", func(w config.Workspace) []any {
			return []any{w.Name, formatNumber(w.Weight), formatNumber(w.Rate), formatNumber(w.Burst), w.MaxQueue, w.Note}
		})
	}
	revoke := &cli.BoolFlag{Name: "revoke-keys", Usage: "revoke the keys of the workspace too"}
	commands := append(collectionCommands(a, "workspaces", list, revoke), set)
	return &cli.Command{Name: "workspace", Usage: "workspaces: weight, rate, burst and queue", Commands: commands}
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// setFromFlag stores the flag's value in field if the flag was given.
func setFromFlag[T any](c *cli.Command, flag string, field *T, value func(string) T) {
	if c.IsSet(flag) {
		*field = value(flag)
	}
}

func (a *app) routeCommand() *cli.Command {
	set := &cli.Command{
		Name: "set", ArgsUsage: "NAME", Usage: "edit the named fields of a route, or add it",
		Flags: writeFlags(
			&cli.StringFlag{Name: "kind", Usage: "model or service"},
			&cli.StringFlag{Name: "model", Usage: "model name, for kind model"},
			&cli.StringFlag{Name: "prefix", Usage: "path prefix such as /alerts/, for kind service"},
			&cli.StringFlag{Name: "pool", Usage: "pool of backend servers"},
			&cli.BoolFlag{Name: "open", Usage: "needs no key"},
			&cli.BoolFlag{Name: "idempotent", Usage: "requests may be repeated"},
			&cli.DurationFlag{Name: "request-timeout", Usage: "deadline of a request; 0 for the host's default"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return setObject(ctx, a, c, "routes", config.Route{}, func(name string, r *config.Route) { routeFromFlags(c, name, r) })
		},
	}
	list := func(ctx context.Context, c *cli.Command) error {
		return listObjects(ctx, a, c, "routes", "ROUTE\tKIND\tMODEL OR PREFIX\tPOOL\tOPEN\tIDEMPOTENT\tTIMEOUT", func(r config.Route) []any {
			return []any{r.Name, r.Kind, r.Model + r.Prefix, r.Pool, r.Open, r.Idempotent, fmt.Sprintf("%dms", r.TimeoutMS)}
		})
	}
	return &cli.Command{Name: "route", Usage: "routes from models and paths to pools", Commands: append(collectionCommands(a, "routes", list), set)}
}

func routeFromFlags(c *cli.Command, name string, r *config.Route) {
	r.Name = name
	setFromFlag(c, "kind", &r.Kind, func(flag string) config.RouteKind { return config.RouteKind(c.String(flag)) })
	setFromFlag(c, "model", &r.Model, c.String)
	setFromFlag(c, "prefix", &r.Prefix, c.String)
	setFromFlag(c, "pool", &r.Pool, c.String)
	setFromFlag(c, "open", &r.Open, c.Bool)
	setFromFlag(c, "idempotent", &r.Idempotent, c.Bool)
	setFromFlag(c, "request-timeout", &r.TimeoutMS, func(flag string) int64 { return c.Duration(flag).Milliseconds() })
}

func (a *app) serverCommand() *cli.Command {
	set := &cli.Command{
		Name: "set", ArgsUsage: "NAME", Usage: "edit the named fields of a backend server, or add it",
		Flags: writeFlags(
			&cli.StringFlag{Name: "pool"},
			&cli.StringFlag{Name: "address", Usage: "IP:port"},
			&cli.StringFlag{Name: "zone"},
			&cli.IntFlag{Name: "concurrency", Usage: "first limit of requests in flight; 8 for a new server"},
			&cli.FloatFlag{Name: "speed", Usage: "relative speed; 1 for a new server"},
			&cli.BoolFlag{Name: "fencing", Usage: "the server refuses orders with an old fencing number"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return setObject(ctx, a, c, "servers", config.Server{Concurrency: 8, Speed: 1}, func(name string, s *config.Server) { serverFromFlags(c, name, s) })
		},
	}
	leave := &cli.Command{
		Name: "leave", ArgsUsage: "NAME", Usage: "send no new work to a server; --undo takes it back",
		Flags: writeFlags(&cli.BoolFlag{Name: "undo"}), Action: a.serverLeave,
	}
	list := func(ctx context.Context, c *cli.Command) error {
		return listObjects(ctx, a, c, "servers", "SERVER\tPOOL\tADDRESS\tZONE\tCONCURRENCY\tSPEED\tLEAVING\tFENCING", func(s config.Server) []any {
			return []any{s.Name, s.Pool, s.Address, s.Zone, s.Concurrency, formatNumber(s.Speed), s.Leaving, s.Fencing}
		})
	}
	return &cli.Command{Name: "server", Usage: "backend servers", Commands: append(collectionCommands(a, "servers", list), set, leave)}
}

func serverFromFlags(c *cli.Command, name string, s *config.Server) {
	s.Name = name
	setFromFlag(c, "pool", &s.Pool, c.String)
	setFromFlag(c, "address", &s.Address, c.String)
	setFromFlag(c, "zone", &s.Zone, c.String)
	setFromFlag(c, "concurrency", &s.Concurrency, c.Int)
	setFromFlag(c, "speed", &s.Speed, c.Float)
	setFromFlag(c, "fencing", &s.Fencing, c.Bool)
}

func (a *app) serverLeave(ctx context.Context, c *cli.Command) error {
	name, err := oneArg(c, "server")
	if err != nil {
		return err
	}
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	query := writeQuery(c)
	query.Set("undo", strconv.FormatBool(c.Bool("undo")))
	result, err := retryConflict(c, func() (admin.WriteResult, error) {
		return writeAtRevision(ctx, c, api, request{method: http.MethodPost, path: objectPath("servers", name) + "/leave", query: query})
	})
	if err != nil {
		return err
	}
	return a.reportWrite(c, result)
}

// retryConflict repeats a write after a revision conflict, unless --revision is
// given. The write must mean the same at any revision.
func retryConflict(c *cli.Command, write func() (admin.WriteResult, error)) (admin.WriteResult, error) {
	for attempt := 0; ; attempt++ {
		result, err := write()
		if !hasStatus(err, http.StatusPreconditionFailed) || c.IsSet(revisionFlag) || attempt == conflictRetries {
			return result, err
		}
	}
}

func (a *app) keyCommand() *cli.Command {
	noteFlag := &cli.StringFlag{Name: "note"}
	operatorFlag := &cli.BoolFlag{Name: "operator", Usage: "a key of the operators' API"}
	return &cli.Command{
		Name: "key", Usage: "keys of callers and operators",
		Commands: []*cli.Command{
			{Name: "create", ArgsUsage: "WORKSPACE", Usage: "create a key and show it once", Flags: writeFlags(noteFlag, operatorFlag), Action: a.keyCreate},
			{Name: "list", Usage: "list keys without their values", Flags: []cli.Flag{
				&cli.StringFlag{Name: "workspace"}, &cli.BoolFlag{Name: "operator", Usage: "list operator keys"},
			}, Action: a.keyList},
			{Name: "revoke", ArgsUsage: "KEY-ID", Usage: "revoke a key", Flags: writeFlags(), Action: a.keyRevoke},
		},
	}
}

func (a *app) keyCreate(ctx context.Context, c *cli.Command) error {
	path := admin.Prefix + "/operators"
	if !c.Bool("operator") {
		workspace, err := oneArg(c, "workspace")
		if err != nil {
			return err
		}
		path = objectPath("workspaces", workspace) + "/keys"
	} else if err := noArgs(c); err != nil {
		return err
	}
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	body := map[string]string{"note": c.String("note")}
	result, err := retryConflict(c, func() (admin.WriteResult, error) {
		return writeAtRevision(ctx, c, api, request{method: http.MethodPost, path: path, query: writeQuery(c), body: body})
	})
	if err != nil {
		return err
	}
	return a.reportWrite(c, result)
}

func (a *app) keyList(ctx context.Context, c *cli.Command) error {
	collection := "keys"
	switch {
	case c.Bool("operator"):
		collection = "operators"
	case c.String("workspace") != "":
		collection = "workspaces/" + url.PathEscape(c.String("workspace")) + "/keys"
	}
	return listObjects(ctx, a, c, collection, "KEY\tWORKSPACE\tCREATED\tNOTE", func(k admin.KeyInfo) []any {
		return []any{k.ID, k.Workspace, formatUnixTime(k.CreatedAt), k.Note}
	})
}

func (a *app) keyRevoke(ctx context.Context, c *cli.Command) error {
	id, err := oneArg(c, "key id")
	if err != nil {
		return err
	}
	api, err := operatorClient(c)
	if err != nil {
		return err
	}
	result, err := retryConflict(c, func() (admin.WriteResult, error) {
		return writeAtRevision(ctx, c, api, request{method: http.MethodDelete, path: objectPath("keys", id), query: writeQuery(c)})
	})
	if err != nil {
		return err
	}
	return a.reportWrite(c, result)
}
