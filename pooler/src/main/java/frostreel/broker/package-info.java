/**
 * The requests of all clients, from their submission to their answer. The broker passes events to the routing
 * decisions, carries their actions out, and keeps all deadlines; it knows no protocol and no sockets. All of it is used
 * on the I/O thread alone.
 */
package frostreel.broker;
