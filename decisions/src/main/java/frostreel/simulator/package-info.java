/**
 * The adapter to the simulator's protocol. {@link frostreel.simulator.WireAdapter} reads batches of events, one JSON
 * object a line, and writes the actions of the routers. The names of the protocol's messages and fields are known in
 * this package alone; it decides nothing.
 */
package frostreel.simulator;
