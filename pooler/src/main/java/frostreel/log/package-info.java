/**
 * The log on standard error: set-up and format, a queue so that logging never blocks, and rate-limited lines
 * on single requests and connections.
 */
package frostreel.log;
