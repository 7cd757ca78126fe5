// Command samphirerail runs the entry process of the cluster scheduler.
package main

func main() {}
