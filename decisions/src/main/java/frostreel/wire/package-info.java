/**
 * Reads messages and settings in JSON: reads fields by name, checks their types and ranges, and maps the settings
 * object, whose format the platform and the simulator share, to {@link frostreel.routing.Router.Settings}. The names of
 * values on the wire are mapped in this package only.
 *
 * <p>The classes are immutable or stateless, do no I/O, and may be used on any thread. They depend on
 * {@code frostreel.routing} alone; the caller decodes the JSON text.
 */
package frostreel.wire;
