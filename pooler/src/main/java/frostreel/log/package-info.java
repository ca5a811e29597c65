/**
 * The log on standard error: {@link frostreel.log.Logging} configures it, {@link frostreel.log.LogQueue} prevents
 * logging from blocking, and {@link frostreel.log.EventLog} writes rate-limited lines on individual requests and
 * connections.
 */
package frostreel.log;
