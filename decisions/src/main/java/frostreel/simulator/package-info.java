/**
 * Adapter for the simulator's protocol. {@link frostreel.simulator.WireAdapter} reads batches of events, one JSON
 * object per line, and writes the actions of the routers. Only this package knows the names of the protocol's
 * messages and fields. It contains no routing logic.
 */
package frostreel.simulator;
