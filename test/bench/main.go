// Command bench is the open-loop load tool.
package main

func main() {}
