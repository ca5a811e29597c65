/**
 * The log on standard error: {@link frostreel.log.Logging} configures it, {@link frostreel.log.LogQueue} keeps logging
 * from ever blocking, and {@link frostreel.log.EventLog} writes rate-limited lines on single requests and connections.
 */
package frostreel.log;
