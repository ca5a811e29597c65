/**
 * Requests of all clients, from submission to the final response. {@link frostreel.broker.Broker} passes events to the
 * router, executes its actions, and fails requests that the router leaves open past their deadline; {@link
 * frostreel.broker.AttemptRunner} runs the attempts. The package is independent of the protocol and of sockets, and is
 * used only on the I/O thread.
 */
package frostreel.broker;
