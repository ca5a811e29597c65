/**
 * The adapter to the simulator's wire. {@link frostreel.simulator.WireAdapter} reads batches of events, one JSON
 * object a line, and writes the actions of the routers. The words of that wire are known in this package alone;
 * it decides nothing.
 */
package frostreel.simulator;
