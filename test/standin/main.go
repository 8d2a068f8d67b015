// Command standin runs the stand-ins of outside systems: platform, engine, service and relay.
package main

func main() {}
