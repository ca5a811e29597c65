/**
 * Messages and settings as they are written in JSON: fields by name with a check of each, and the mapping of the
 * settings object, which the platform and the simulator write alike, to {@link frostreel.routing.Router.Settings}.
 */
package frostreel.wire;
