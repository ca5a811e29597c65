/**
 * Stand-ins, on sockets, for the services that the program connects to: the model's servers behind the
 * PostgreSQL protocol, and the discovery agent. All of them run on one event loop's thread.
 */
package frostreel.lab.standin;
