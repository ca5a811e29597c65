/**
 * Reads messages and settings that are written in JSON: fields by name, each checked for its type and range, and
 * the settings object, which the platform and the simulator write alike, as {@link
 * frostreel.routing.Router.Settings}. Names that the wire gives to values are mapped here and nowhere deeper.
 *
 * <p>The classes are immutable or have no state, do no I/O, and may be used on any thread. They depend on
 * {@code frostreel.routing} alone; JSON text is decoded by the caller.
 */
package frostreel.wire;
