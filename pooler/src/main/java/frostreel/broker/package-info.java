/**
 * The requests of all clients, from submission to response. {@link frostreel.broker.Broker} passes events to the
 * router, carries its actions out, and answers what the router leaves unanswered; {@link
 * frostreel.broker.AttemptRunner} runs the attempts. The package knows no protocol and no sockets, and is used on the
 * I/O thread alone.
 */
package frostreel.broker;
