// Command catkinctl is the operators' tool.
package main

func main() {}
